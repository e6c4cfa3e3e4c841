package org.yuccabank.replication;

/**
 * Listener for leadership changes of a replica. Called by the replica thread; implementations must
 * not block.
 */
@FunctionalInterface
public interface LeaderListener {

    /**
     * Called when the replica becomes a leader that is ready to serve, or stops being one.
     *
     * @param leader true once the replica is the leader and its state machine has applied all
     *     entries of earlier terms, false when it is no longer the leader
     * @param term the current term
     */
    void onLeadershipChanged(boolean leader, long term);
}
