package org.yuccabank.replication;

import java.util.Optional;

/** Outcome of a request to confirm a read of the local state machine. */
public sealed interface ReadOutcome {

    /**
     * This replica was the leader after the read was requested, and its state machine includes all
     * commands committed before the request.
     *
     * @param index a log index up to which the state machine has applied all entries
     */
    record Confirmed(long index) implements ReadOutcome {}

    /**
     * This replica could not confirm that it is the leader.
     *
     * @param leader the leader known to this replica, if any
     */
    record NotLeader(Optional<ReplicaMember> leader) implements ReadOutcome {}
}
