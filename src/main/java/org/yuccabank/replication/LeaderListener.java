package org.yuccabank.replication;

/**
 * Is told when the replica becomes or stops being a leader that is ready to serve. Called by the
 * thread of the replica; an implementation must not block.
 */
@FunctionalInterface
public interface LeaderListener {

    /**
     * Reports a change of role.
     *
     * @param leader true once the replica leads and its state machine has applied every entry of
     *     earlier terms, false when it no longer leads
     * @param term the present term
     */
    void onLeadershipChanged(boolean leader, long term);
}
