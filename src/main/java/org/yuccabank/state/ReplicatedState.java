package org.yuccabank.state;

import com.google.protobuf.InvalidProtocolBufferException;
import java.util.Optional;
import org.yuccabank.protocol.generated.CommandRequest;
import org.yuccabank.protocol.generated.CommandResult;
import org.yuccabank.protocol.generated.CommandResult.Verdict;
import org.yuccabank.protocol.generated.StateCommand;
import org.yuccabank.replication.StateMachine;
import org.yuccabank.state.generated.AuditRecord;
import org.yuccabank.state.generated.HostRecord;
import org.yuccabank.state.generated.RememberedResult;
import org.yuccabank.state.generated.StateSnapshot;

/**
 * The replicated state machine: rules, jobs, leases, claims and the audit trail.
 *
 * <p>Invariants: the same commands produce the same state on every replica, as the time is part of
 * the command; a command identifier is applied once, and a resent command gets the first result.
 * Confined to the replica thread.
 */
public final class ReplicatedState implements StateMachine {

    /** Number of commands between two removals of expired records. */
    private static final int EXPIRY_INTERVAL_COMMANDS = 1_000;

    private SystemState state = new SystemState();

    private ReplicatedState() {}

    /**
     * Creates a state machine with empty state.
     *
     * @return the state machine
     */
    public static ReplicatedState empty() {
        return new ReplicatedState();
    }

    /**
     * Returns the records. They must be read on the replica thread.
     *
     * @return the records
     */
    public SystemState records() {
        return state;
    }

    @Override
    public byte[] apply(long index, byte[] command) {
        state.setAppliedIndex(index);
        try {
            StateCommand parsed = StateCommand.parseFrom(command);
            CommandContext context = new CommandContext(index, parsed.getAcceptedAtMillis());
            if (index % EXPIRY_INTERVAL_COMMANDS == 0) {
                state.removeExpired(context.nowMillis());
            }
            return apply(parsed, context).toByteArray();
        } catch (InvalidProtocolBufferException exception) {
            return CommandResults.of(Verdict.REJECTED, "the command cannot be decoded")
                    .toByteArray();
        }
    }

    private CommandResult apply(StateCommand command, CommandContext context) {
        return switch (command.getCommandCase()) {
            case REQUEST -> applyOnce(command.getRequest(), context);
            case LEASE_GRANTED -> JobCommands.grantLease(state, command.getLeaseGranted(), context);
            case TASK_ENDED -> JobCommands.end(state, command.getTaskEnded(), context);
            case CHECKPOINT_CONFIRMED ->
                    JobCommands.confirmCheckpoint(state, command.getCheckpointConfirmed(), context);
            case INCARNATION_SEEN ->
                    ClaimCommands.endClaimsOfEarlierIncarnations(
                            state,
                            command.getIncarnationSeen().getHostId(),
                            command.getIncarnationSeen().getIncarnation(),
                            context.index());
            case WORKFLOW -> {
                state.workflows().apply(command.getWorkflow(), context.nowMillis());
                yield CommandResults.accepted(context.index());
            }
            case COMMAND_NOT_SET -> CommandResults.of(Verdict.REJECTED, "the command is empty");
        };
    }

    private CommandResult applyOnce(CommandRequest request, CommandContext context) {
        String commandId = request.getCommandId();
        Optional<CommandResult> previousResult = state.result(commandId);
        if (!commandId.isEmpty() && previousResult.isPresent()) {
            return previousResult.get();
        }
        CommandResult result = apply(request, context);
        if (!commandId.isEmpty()) {
            state.putResult(
                    RememberedResult.newBuilder()
                            .setCommandId(commandId)
                            .setAtMillis(context.nowMillis())
                            .setResult(result)
                            .build());
        }
        audit(request, result, context);
        return result;
    }

    private CommandResult apply(CommandRequest request, CommandContext context) {
        String account = request.getAccount();
        long index = context.index();
        long nowMillis = context.nowMillis();
        return switch (request.getCommandCase()) {
            case APPLY_RULES ->
                    RulesCommands.apply(state, request.getApplyRules(), account, index, nowMillis);
            case SUBMIT_JOB ->
                    JobCommands.submit(state, request.getSubmitJob(), account, index, nowMillis);
            case CANCEL_JOB ->
                    JobCommands.cancel(
                            state,
                            request.getCancelJob().getJobId(),
                            account,
                            request.getOperator(),
                            context);
            case CLAIM -> ClaimCommands.claim(state, request.getClaim(), account, index, nowMillis);
            case REPORT_OUTCOME ->
                    ClaimCommands.reportOutcome(
                            state, request.getReportOutcome().getOutcome(), index);
            case DRAIN_HOST ->
                    drain(
                            request.getDrainHost().getHostId(),
                            !request.getDrainHost().getUndo(),
                            index);
            case QUERY, COMMAND_NOT_SET ->
                    CommandResults.of(Verdict.REJECTED, "the command changes nothing");
        };
    }

    private CommandResult drain(String hostId, boolean draining, long index) {
        Optional<HostRecord> host = state.host(hostId);
        if (host.isEmpty()) {
            return CommandResults.of(Verdict.NOT_FOUND, "no host " + hostId);
        }
        state.putHost(host.get().toBuilder().setDraining(draining).build());
        return CommandResults.accepted(index);
    }

    private void audit(CommandRequest request, CommandResult result, CommandContext context) {
        Optional<String> detail = AuditDetails.of(request, result);
        if (detail.isEmpty()) {
            return;
        }
        state.addAudit(
                AuditRecord.newBuilder()
                        .setIndex(context.index())
                        .setAtMillis(context.nowMillis())
                        .setAccount(request.getAccount())
                        .setAction(AuditDetails.action(request))
                        .setDetail(detail.get())
                        .setVerdict(result.getVerdict().name())
                        .build());
    }

    @Override
    public byte[] snapshot() {
        return state.toSnapshot().toByteArray();
    }

    @Override
    public void restore(byte[] snapshot) {
        try {
            state = SystemState.fromSnapshot(StateSnapshot.parseFrom(snapshot));
        } catch (InvalidProtocolBufferException exception) {
            throw new IllegalArgumentException("the snapshot cannot be decoded", exception);
        }
    }
}
