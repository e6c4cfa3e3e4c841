package org.yuccabank.replication;

/**
 * Deterministic state machine that is replicated. All methods are called by the replica thread, one
 * at a time and in log order. The state must depend on the commands only: any time or random number
 * that it needs must be part of a command.
 */
public interface StateMachine {

    /**
     * Applies a committed command.
     *
     * @param index log index of the command, strictly increasing
     * @param command the command as proposed
     * @return the result for the proposer, not null
     */
    byte[] apply(long index, byte[] command);

    /**
     * Serializes the complete state.
     *
     * @return the state in the format that {@link #restore} accepts
     */
    byte[] snapshot();

    /**
     * Replaces the complete state.
     *
     * @param snapshot state returned by {@link #snapshot} on this or another replica, or no bytes
     *     for the initial state
     */
    void restore(byte[] snapshot);
}
