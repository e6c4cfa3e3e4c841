package org.yuccabank.replication;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;

/** Reads that wait for the leader to confirm its leadership. Not thread-safe. */
final class PendingReads {

    /** Marks a read that is not yet assigned to a heartbeat round. */
    private static final long NO_ROUND = 0;

    private record PendingRead(long id, long readIndex, long round) {}

    private final List<PendingRead> pendingReads = new ArrayList<>();
    private final List<ConfirmedRead> confirmedReads = new ArrayList<>();

    void add(long id) {
        pendingReads.add(new PendingRead(id, 0, NO_ROUND));
    }

    void confirmNow(long id, long readIndex) {
        confirmedReads.add(new ConfirmedRead(id, readIndex));
    }

    /** Returns whether a read is not yet assigned to a heartbeat round. */
    boolean needsRound() {
        return pendingReads.stream().anyMatch(each -> each.round() == NO_ROUND);
    }

    /** Assigns all unassigned reads to a heartbeat round. */
    void assignRound(long round, long readIndex) {
        pendingReads.replaceAll(
                each ->
                        each.round() == NO_ROUND
                                ? new PendingRead(each.id(), readIndex, round)
                                : each);
    }

    /** Confirms the reads of all rounds up to the last one that a majority has acknowledged. */
    void confirmRounds(long round) {
        Iterator<PendingRead> iterator = pendingReads.iterator();
        while (iterator.hasNext()) {
            PendingRead each = iterator.next();
            if (each.round() != NO_ROUND && each.round() <= round) {
                confirmedReads.add(new ConfirmedRead(each.id(), each.readIndex()));
                iterator.remove();
            }
        }
    }

    /** Removes and returns the confirmed reads whose read index has been applied. */
    List<ConfirmedRead> takeConfirmed(long appliedIndex) {
        if (confirmedReads.isEmpty()) {
            return List.of();
        }
        List<ConfirmedRead> ready = new ArrayList<>();
        confirmedReads.removeIf(
                read -> {
                    boolean applied = read.readIndex() <= appliedIndex;
                    if (applied) {
                        ready.add(read);
                    }
                    return applied;
                });
        return ready;
    }
}
