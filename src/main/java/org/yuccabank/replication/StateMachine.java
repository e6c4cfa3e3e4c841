package org.yuccabank.replication;

/**
 * Deterministic state that is replicated. All methods are called by the thread of the replica, one
 * at a time and in log order. An implementation must depend on nothing but the commands: the time
 * and random numbers it needs stand in the command.
 */
public interface StateMachine {

    /**
     * Applies a committed command.
     *
     * @param index position in the log, strictly increasing
     * @param command the command as it was proposed
     * @return the result, given to the proposer; not null
     */
    byte[] apply(long index, byte[] command);

    /**
     * Writes the whole state.
     *
     * @return the state as bytes that {@link #restore} accepts
     */
    byte[] snapshot();

    /**
     * Replaces the whole state.
     *
     * @param snapshot bytes that {@link #snapshot} returned, on this or another replica
     */
    void restore(byte[] snapshot);
}
