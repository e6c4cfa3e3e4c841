package org.yuccabank.replication;

import java.util.Collection;
import java.util.Comparator;
import java.util.Optional;
import org.yuccabank.protocol.generated.TransferLeadership;

/**
 * Transfer of leadership to another voter. No proposals are accepted during a transfer, so that the
 * target can catch up with the log. Not thread-safe.
 */
final class LeadershipTransfer {

    private final CoreState state;
    private final Lease lease;
    private String target = "";
    private boolean requestSent;
    private long deadlineMillis;

    LeadershipTransfer(CoreState state, Lease lease) {
        this.state = state;
        this.lease = lease;
    }

    boolean isInProgress() {
        return !target.isEmpty();
    }

    /**
     * Starts a transfer to the voter with the most complete log.
     *
     * @param progress progress of the other replicas
     * @return false if a transfer is in progress or no other voter responds
     */
    boolean start(Collection<Progress> progress) {
        long timeoutMillis = state.timing().electionTimeoutMillis();
        Optional<Progress> mostComplete =
                progress.stream()
                        .filter(each -> state.membership().isVoter(each.replicaId()))
                        .filter(each -> state.nowMillis() - each.lastReplyMillis() < timeoutMillis)
                        .max(Comparator.comparingLong(Progress::matchIndex));
        if (mostComplete.isEmpty() || isInProgress()) {
            return false;
        }
        target = mostComplete.get().replicaId();
        requestSent = false;
        deadlineMillis = state.nowMillis() + timeoutMillis + state.timing().electionJitterMillis();
        onMatch(mostComplete.get());
        return true;
    }

    /** Requests the target to start an election once it stores the complete log. */
    void onMatch(Progress progress) {
        boolean complete = progress.matchIndex() == state.log().lastIndex();
        if (!progress.replicaId().equals(target) || requestSent || !complete) {
            return;
        }
        requestSent = true;
        lease.revoke();
        state.outbox()
                .send(
                        state.messageTo(target)
                                .setTransferLeadership(TransferLeadership.getDefaultInstance())
                                .build());
    }

    /** Cancels the transfer at its deadline or when the target is no longer a voter. */
    void tick(Collection<Progress> progress) {
        if (!isInProgress()) {
            return;
        }
        if (state.nowMillis() >= deadlineMillis || !state.membership().isVoter(target)) {
            target = "";
        } else {
            progress.forEach(this::onMatch);
        }
    }
}
