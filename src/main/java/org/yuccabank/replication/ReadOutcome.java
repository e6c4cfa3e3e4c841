package org.yuccabank.replication;

import java.util.Optional;

/** Whether the local state may be read. */
public sealed interface ReadOutcome {

    /**
     * This replica led the group after the read was requested, and its state machine contains
     * everything that was committed before.
     *
     * @param index the log position that the state machine has reached at least
     */
    record Confirmed(long index) implements ReadOutcome {}

    /**
     * This replica could not confirm that it leads the group.
     *
     * @param leader the leader that this replica knows of
     */
    record NotLeader(Optional<ReplicaMember> leader) implements ReadOutcome {}
}
