package org.yuccabank.replication;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;

/** Reads that wait for the leader to confirm its leadership. Not thread-safe. */
final class PendingReads {

    /** Marks a read that is not yet assigned to a heartbeat round. */
    private static final long NO_ROUND = 0;

    private record Pending(long id, long readIndex, long round) {}

    private final List<Pending> pending = new ArrayList<>();
    private final List<ConfirmedRead> confirmed = new ArrayList<>();

    void add(long id) {
        pending.add(new Pending(id, 0, NO_ROUND));
    }

    void confirmNow(long id, long readIndex) {
        confirmed.add(new ConfirmedRead(id, readIndex));
    }

    /** Returns whether a read is not yet assigned to a heartbeat round. */
    boolean needsRound() {
        return pending.stream().anyMatch(each -> each.round() == NO_ROUND);
    }

    /** Assigns all unassigned reads to a heartbeat round. */
    void assignRound(long round, long readIndex) {
        pending.replaceAll(
                each -> each.round() == NO_ROUND ? new Pending(each.id(), readIndex, round) : each);
    }

    /** Confirms the reads of all rounds up to the last one that a majority has acknowledged. */
    void confirmRounds(long round) {
        Iterator<Pending> iterator = pending.iterator();
        while (iterator.hasNext()) {
            Pending each = iterator.next();
            if (each.round() != NO_ROUND && each.round() <= round) {
                confirmed.add(new ConfirmedRead(each.id(), each.readIndex()));
                iterator.remove();
            }
        }
    }

    /** Removes and returns the confirmed reads whose read index has been applied. */
    List<ConfirmedRead> takeConfirmed(long appliedIndex) {
        if (confirmed.isEmpty()) {
            return List.of();
        }
        List<ConfirmedRead> ready = new ArrayList<>();
        confirmed.removeIf(
                read -> {
                    boolean done = read.readIndex() <= appliedIndex;
                    if (done) {
                        ready.add(read);
                    }
                    return done;
                });
        return ready;
    }
}
