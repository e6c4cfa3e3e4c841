package org.yuccabank.replication;

import java.util.Optional;

/** What became of a proposal. */
public sealed interface ProposalOutcome {

    /**
     * The command is committed and was applied.
     *
     * @param index position in the log
     * @param result what the state machine returned, empty for a membership change
     */
    @SuppressWarnings("ArrayRecordComponent") // The result is handed over, never compared.
    record Committed(long index, byte[] result) implements ProposalOutcome {}

    /**
     * The command was not accepted and will never be applied, because this replica is not the
     * leader.
     *
     * @param leader the leader that this replica knows of
     */
    record NotLeader(Optional<ReplicaMember> leader) implements ProposalOutcome {}

    /**
     * The command was not accepted and will never be applied; another try may be accepted.
     *
     * @param reason why it was refused
     */
    record Refused(String reason) implements ProposalOutcome {}

    /**
     * The command was accepted by a leader that lost its role or stopped before the command was
     * committed. It may be applied later or never; resend it with the same command identifier.
     *
     * @param reason why the outcome is unknown
     */
    record Unknown(String reason) implements ProposalOutcome {}
}
