package org.yuccabank.replication;

import java.util.Optional;

/** Outcome of a proposal. */
public sealed interface ProposalOutcome {

    /**
     * The command was committed and applied.
     *
     * @param index log index of the command
     * @param result result of the state machine, empty for a membership change
     */
    @SuppressWarnings("ArrayRecordComponent") // Instances are never compared.
    record Committed(long index, byte[] result) implements ProposalOutcome {}

    /**
     * The command was not accepted and will never be applied, because this replica is not the
     * leader.
     *
     * @param leader the leader known to this replica, if any
     */
    record NotLeader(Optional<ReplicaMember> leader) implements ProposalOutcome {}

    /**
     * The command was not accepted and will never be applied; a retry may be accepted.
     *
     * @param reason why the command was refused
     */
    record Refused(String reason) implements ProposalOutcome {}

    /**
     * The command was accepted by a leader that stepped down or stopped before the command was
     * known to be committed. It may still be applied; resend it with the same command identifier.
     *
     * @param reason why the outcome is unknown
     */
    record Unknown(String reason) implements ProposalOutcome {}
}
