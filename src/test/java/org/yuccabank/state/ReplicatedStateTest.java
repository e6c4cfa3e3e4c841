package org.yuccabank.state;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.google.protobuf.InvalidProtocolBufferException;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import org.yuccabank.protocol.generated.ApplyRules;
import org.yuccabank.protocol.generated.CancelJob;
import org.yuccabank.protocol.generated.CheckpointConfirmed;
import org.yuccabank.protocol.generated.ClaimOutcome;
import org.yuccabank.protocol.generated.ClaimRequest;
import org.yuccabank.protocol.generated.CommandRequest;
import org.yuccabank.protocol.generated.CommandResult;
import org.yuccabank.protocol.generated.CommandResult.Verdict;
import org.yuccabank.protocol.generated.IncarnationSeen;
import org.yuccabank.protocol.generated.LeaseGranted;
import org.yuccabank.protocol.generated.OutcomeKind;
import org.yuccabank.protocol.generated.ReportOutcome;
import org.yuccabank.protocol.generated.StateCommand;
import org.yuccabank.protocol.generated.SubmitJob;
import org.yuccabank.protocol.generated.TaskEnded;
import org.yuccabank.protocol.generated.TaskPhase;
import org.yuccabank.state.generated.TaskRecordPhase;

/** Tests the invariants of the replicated state. */
public final class ReplicatedStateTest {

    private static final String RULES =
            "at-most-once charge # asked by Salma\nbatch charge # asked by Salma\n";
    private static final String VALID_RULES = "batch render checkpoint=60s # asked by Omar\n";

    private ReplicatedState state;
    private long index;

    /** Creates an empty state for each test. */
    @BeforeMethod
    public void createState() {
        state = ReplicatedState.empty();
        index = 0;
    }

    private CommandResult apply(StateCommand.Builder command) {
        try {
            byte[] bytes = command.setAcceptedAtMillis(1_000 + index).build().toByteArray();
            return CommandResult.parseFrom(state.apply(++index, bytes));
        } catch (InvalidProtocolBufferException exception) {
            throw new AssertionError(exception);
        }
    }

    private CommandResult apply(CommandRequest.Builder request) {
        return apply(StateCommand.newBuilder().setRequest(request));
    }

    private CommandResult applyRules(String commandId, String operator, long expected) {
        return apply(
                CommandRequest.newBuilder()
                        .setCommandId(commandId)
                        .setAccount(operator)
                        .setApplyRules(
                                ApplyRules.newBuilder()
                                        .setExpectedVersion(expected)
                                        .setText(VALID_RULES)));
    }

    private CommandResult claim(String key, long incarnation, long replacesToken, long digest) {
        return apply(
                CommandRequest.newBuilder()
                        .setAccount("studio")
                        .setClaim(
                                ClaimRequest.newBuilder()
                                        .setKey(key)
                                        .setHostId("host-1")
                                        .setIncarnation(incarnation)
                                        .setReplacesToken(replacesToken)
                                        .setRequestDigest(digest)));
    }

    private CommandResult report(String key, long token, OutcomeKind outcome) {
        return apply(
                CommandRequest.newBuilder()
                        .setAccount("studio")
                        .setReportOutcome(
                                ReportOutcome.newBuilder()
                                        .setOutcome(
                                                ClaimOutcome.newBuilder()
                                                        .setAccount("studio")
                                                        .setKey(key)
                                                        .setFencingToken(token)
                                                        .setOutcome(outcome))));
    }

    private String submit(int tasks) {
        return apply(
                        CommandRequest.newBuilder()
                                .setAccount("studio")
                                .setSubmitJob(
                                        SubmitJob.newBuilder()
                                                .setKind("render")
                                                .setTaskCount(tasks)))
                .getIdentifier();
    }

    private CommandResult grant(String taskId) {
        return apply(
                StateCommand.newBuilder()
                        .setLeaseGranted(
                                LeaseGranted.newBuilder().setTaskId(taskId).setHostId("host-1")));
    }

    private CommandResult end(String taskId, long token, TaskPhase phase) {
        return apply(
                StateCommand.newBuilder()
                        .setTaskEnded(
                                TaskEnded.newBuilder()
                                        .setTaskId(taskId)
                                        .setFencingToken(token)
                                        .setPhase(phase)));
    }

    /**
     * Guards against accepting two new versions of the rules that are both based on the same
     * version, so that the changes of one operator are lost.
     */
    @Test
    public void shouldAcceptOneOfTwoOperatorsWithEqualVersions() {
        assertEquals(applyRules("a", "omar", 0).getVerdict(), Verdict.ACCEPTED);
        CommandResult second = applyRules("b", "nadia", 0);
        assertEquals(second.getVerdict(), Verdict.CONFLICT);
        assertTrue(second.getMessage().contains("omar"), second.getMessage());
        assertEquals(state.records().currentRules().orElseThrow().getVersion(), 1);
    }

    /** Guards against a resent command that conflicts with its own first result. */
    @Test
    public void shouldReturnFirstResultForResentCommand() {
        CommandResult first = applyRules("a", "omar", 0);
        assertEquals(applyRules("a", "omar", 0), first);
        assertEquals(state.records().rulesHistory().size(), 1);
        assertEquals(state.records().audit().size(), 1);
    }

    /** Guards against invalid rules that replace valid ones. */
    @Test
    public void shouldKeepRulesWhenNewOnesAreInvalid() {
        CommandResult result =
                apply(
                        CommandRequest.newBuilder()
                                .setAccount("omar")
                                .setApplyRules(
                                        ApplyRules.newBuilder().setText(RULES + "nonsense\n")));
        assertEquals(result.getVerdict(), Verdict.REJECTED);
        assertTrue(state.records().currentRules().isEmpty());
    }

    /** Guards against a second claim of a key while the first request may still run. */
    @Test
    public void shouldAcceptOneClaimPerKey() {
        long token = claim("k", 1, 0, 5).getFencingToken();
        assertEquals(claim("k", 1, 0, 5).getVerdict(), Verdict.CONFLICT);
        assertEquals(claim("k", 1, token, 5).getVerdict(), Verdict.CONFLICT);
        report("k", token, OutcomeKind.NOT_RUN);
        assertEquals(claim("k", 1, token, 5).getVerdict(), Verdict.ACCEPTED);
        assertEquals(claim("k", 1, token, 5).getVerdict(), Verdict.CONFLICT);
    }

    /** Guards against a key that is used for two different requests. */
    @Test
    public void shouldRejectKeyReusedForDifferentRequest() {
        claim("k", 1, 0, 5);
        assertEquals(claim("k", 1, 0, 6).getVerdict(), Verdict.REJECTED);
    }

    /** Guards against a later report that changes a known outcome. */
    @Test
    public void shouldKeepKnownOutcome() {
        long token = claim("k", 1, 0, 5).getFencingToken();
        report("k", token, OutcomeKind.RAN);
        report("k", token, OutcomeKind.NOT_RUN);
        assertEquals(outcome("k"), OutcomeKind.RAN);
    }

    /**
     * Guards against claims that stay open forever after a restart of the agent, and against new
     * claims of a past incarnation.
     */
    @Test
    public void shouldEndClaimsOfPastIncarnations() {
        claim("k", 1, 0, 5);
        apply(
                StateCommand.newBuilder()
                        .setIncarnationSeen(
                                IncarnationSeen.newBuilder()
                                        .setHostId("host-1")
                                        .setIncarnation(2)));
        assertEquals(outcome("k"), OutcomeKind.UNKNOWN);
        assertEquals(claim("k2", 1, 0, 5).getVerdict(), Verdict.REJECTED);
    }

    /**
     * Guards against reporting a request as not run although a past incarnation may have run it.
     */
    @Test
    public void shouldNotTurnUnknownIntoNotRun() {
        long token = claim("k", 1, 0, 5).getFencingToken();
        apply(
                StateCommand.newBuilder()
                        .setIncarnationSeen(
                                IncarnationSeen.newBuilder()
                                        .setHostId("host-1")
                                        .setIncarnation(2)));
        report("k", token, OutcomeKind.NOT_RUN);
        assertEquals(outcome("k"), OutcomeKind.UNKNOWN);
        report("k", token, OutcomeKind.RAN);
        assertEquals(outcome("k"), OutcomeKind.RAN);
    }

    private OutcomeKind outcome(String key) {
        return state.records().claim("studio", key).orElseThrow().getOutcome().getOutcome();
    }

    /** Guards against two leases of one task, and against ending a lease with an older token. */
    @Test
    public void shouldGrantOneLeasePerTask() {
        String task = submit(1) + ".0";
        long token = grant(task).getFencingToken();
        assertEquals(grant(task).getVerdict(), Verdict.CONFLICT);
        end(task, token, TaskPhase.TASK_STOPPED);
        long second = grant(task).getFencingToken();
        assertTrue(second > token);
        assertEquals(end(task, token, TaskPhase.TASK_FINISHED).getVerdict(), Verdict.CONFLICT);
        assertEquals(
                state.records().task(task).orElseThrow().getPhase(), TaskRecordPhase.TASK_LEASED);
    }

    /**
     * Guards against a checkpoint generation that decreases or is reported under an ended lease.
     */
    @Test
    public void shouldNeverDecreaseCheckpointGeneration() {
        String task = submit(1) + ".0";
        long token = grant(task).getFencingToken();
        checkpoint(task, token, 2);
        checkpoint(task, token, 1);
        checkpoint(task, token - 1, 9);
        assertEquals(state.records().task(task).orElseThrow().getCheckpointGeneration(), 2);
    }

    private void checkpoint(String task, long token, long generation) {
        apply(
                StateCommand.newBuilder()
                        .setCheckpointConfirmed(
                                CheckpointConfirmed.newBuilder()
                                        .setTaskId(task)
                                        .setFencingToken(token)
                                        .setGeneration(generation)));
    }

    /** Guards against an account that cancels a job of another account. */
    @Test
    public void shouldHideJobsOfOtherAccounts() {
        String job = submit(2);
        CommandRequest.Builder cancel =
                CommandRequest.newBuilder()
                        .setAccount("rival")
                        .setCancelJob(CancelJob.newBuilder().setJobId(job));
        assertEquals(apply(cancel).getVerdict(), Verdict.NOT_FOUND);
        assertFalse(state.records().job(job).orElseThrow().getCancelRequested());
    }

    /** Guards against a replica whose state differs after it has restored a snapshot. */
    @Test
    public void shouldRestoreEqualStateFromSnapshot() {
        applyRules("a", "omar", 0);
        String task = submit(3) + ".1";
        grant(task);
        claim("k", 1, 0, 5);
        ReplicatedState restored = ReplicatedState.empty();
        restored.restore(state.snapshot());
        assertEquals(restored.snapshot(), state.snapshot());
        assertEquals(restored.records().leasedTasksOfHost("host-1").size(), 1);
        assertEquals(restored.records().queuedTasks(), state.records().queuedTasks());
    }
}
