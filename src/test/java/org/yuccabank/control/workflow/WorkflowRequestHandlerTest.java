package org.yuccabank.control.workflow;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.nio.file.Files;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import org.yuccabank.control.Proposer;
import org.yuccabank.protocol.generated.CancelWorkflow;
import org.yuccabank.protocol.generated.FleetConfiguration;
import org.yuccabank.protocol.generated.QueueDefinition;
import org.yuccabank.protocol.generated.ReplaceConfiguration;
import org.yuccabank.protocol.generated.StepDefinition;
import org.yuccabank.protocol.generated.WorkflowAddress;
import org.yuccabank.protocol.generated.WorkflowDefinition;
import org.yuccabank.protocol.generated.WorkflowPhase;
import org.yuccabank.protocol.generated.WorkflowReply;
import org.yuccabank.protocol.generated.WorkflowReply.Verdict;
import org.yuccabank.protocol.generated.WorkflowRequest;
import org.yuccabank.replication.ReplicaMember;
import org.yuccabank.replication.ReplicaService;
import org.yuccabank.replication.ReplicaSettings;
import org.yuccabank.replication.ReplicaTiming;
import org.yuccabank.state.ReplicatedState;
import org.yuccabank.state.workflow.WorkflowLimits;

/** Tests requests that arrive while an earlier one of the same workflow is being committed. */
public final class WorkflowRequestHandlerTest {

    private static final long TIMEOUT_SECONDS = 20;
    private static final String ID = "00000000000000aa";

    private ReplicaService replica;
    private WorkflowLeader leader;

    /** Starts the leader of a group of one replica with one queue. */
    @BeforeMethod
    public void start() throws Exception {
        ReplicatedState state = ReplicatedState.empty();
        ReplicaSettings settings =
                new ReplicaSettings(
                        "test",
                        "a",
                        Files.createTempDirectory("requests"),
                        List.of(ReplicaMember.voter("a", "a")),
                        ReplicaTiming.defaults(),
                        1_000);
        replica = ReplicaService.of(settings, state, (address, message) -> {});
        Proposer proposer = Proposer.of(replica, System::currentTimeMillis);
        leader = WorkflowLeader.of(replica, state, proposer, new LeaseBound(3_000, 0.05), 1);
        CompletableFuture<Boolean> leads = new CompletableFuture<>();
        replica.addLeaderListener(
                (leading, term) -> {
                    leader.leadershipChanged(term);
                    leads.complete(leading);
                });
        assertTrue(replica.start().isSuccess());
        leads.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
        QueueDefinition queue =
                QueueDefinition.newBuilder()
                        .setName("q")
                        .setHostName("h")
                        .setPathPrefix("/q/")
                        .build();
        FleetConfiguration configuration =
                FleetConfiguration.newBuilder().setVersion(1).addQueues(queue).build();
        WorkflowRequest replace =
                WorkflowRequest.newBuilder()
                        .setReplace(
                                ReplaceConfiguration.newBuilder().setConfiguration(configuration))
                        .build();
        assertEquals(changeTogether(List.of(replace)).get(0).getVerdict(), Verdict.ACCEPTED);
    }

    @AfterMethod
    public void stop() {
        replica.stop();
    }

    private static WorkflowRequest.Builder request() {
        return WorkflowRequest.newBuilder()
                .setAddress(WorkflowAddress.newBuilder().setHostName("h").setPath("/q/" + ID));
    }

    private static WorkflowRequest submission(int taskCount) {
        StepDefinition step = StepDefinition.newBuilder().setTaskCount(taskCount).build();
        return request().setSubmit(WorkflowDefinition.newBuilder().addSteps(step)).build();
    }

    /** Handles requests in one step of the replica, so that none is committed before the last. */
    private List<WorkflowReply> changeTogether(List<WorkflowRequest> requests) throws Exception {
        List<CompletionStage<WorkflowReply>> replies =
                replica.call(() -> requests.stream().map(leader::change).toList())
                        .toCompletableFuture()
                        .get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
        List<WorkflowReply> result = new ArrayList<>();
        for (CompletionStage<WorkflowReply> reply : replies) {
            result.add(reply.toCompletableFuture().get(TIMEOUT_SECONDS, TimeUnit.SECONDS));
        }
        return result;
    }

    /**
     * Guards against a repeated submission that is refused, so that its client is told that the
     * workflow does not run, although the first attempt is then accepted.
     */
    @Test
    public void shouldAnswerRepeatedSubmissionLikeTheFirst() throws Exception {
        // Too large, as a refusal by admission control needs a fleet whose load changes.
        WorkflowRequest refused = submission(WorkflowLimits.MAXIMUM_TASKS + 1);
        List<WorkflowReply> replies = changeTogether(List.of(submission(1), refused));
        assertEquals(replies.get(0).getVerdict(), Verdict.ACCEPTED);
        assertEquals(replies.get(1).getVerdict(), Verdict.ACCEPTED);
    }

    /** Guards against a cancelled workflow that runs because its submission was not committed. */
    @Test
    public void shouldCancelWorkflowThatIsBeingCommitted() throws Exception {
        WorkflowRequest cancel = request().setCancel(CancelWorkflow.getDefaultInstance()).build();
        List<WorkflowReply> replies = changeTogether(List.of(submission(1), cancel));
        assertEquals(replies.get(1).getVerdict(), Verdict.ACCEPTED);
        WorkflowPhase phase =
                replica.call(() -> leader.records().workflow(ID).orElseThrow().phase())
                        .toCompletableFuture()
                        .get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
        assertEquals(phase, WorkflowPhase.WORKFLOW_CANCELLED);
    }

    /**
     * Guards against a workflow that runs after its cancellation was acknowledged, because its
     * submission arrived later, as from a machine that was suspended (review/9).
     */
    @Test
    public void shouldRefuseSubmissionAfterItsCancellation() throws Exception {
        WorkflowRequest cancel = request().setCancel(CancelWorkflow.getDefaultInstance()).build();
        assertEquals(changeTogether(List.of(cancel)).get(0).getVerdict(), Verdict.UNKNOWN_WORKFLOW);
        List<WorkflowReply> replies = changeTogether(List.of(submission(1), cancel));
        assertEquals(replies.get(0).getVerdict(), Verdict.REFUSED);
        assertEquals(replies.get(1).getVerdict(), Verdict.UNKNOWN_WORKFLOW);
        assertNotAccepted();
    }

    /** Guards against accepting a submission that its cancellation overtakes in the log. */
    @Test
    public void shouldRefuseSubmissionWhileItsCancellationIsBeingCommitted() throws Exception {
        WorkflowRequest cancel = request().setCancel(CancelWorkflow.getDefaultInstance()).build();
        List<WorkflowReply> replies = changeTogether(List.of(cancel, submission(1)));
        assertEquals(replies.get(0).getVerdict(), Verdict.UNKNOWN_WORKFLOW);
        assertEquals(replies.get(1).getVerdict(), Verdict.REFUSED);
        assertNotAccepted();
    }

    private void assertNotAccepted() throws Exception {
        boolean known =
                replica.call(() -> leader.records().workflow(ID).isPresent())
                        .toCompletableFuture()
                        .get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
        assertFalse(known);
    }
}
