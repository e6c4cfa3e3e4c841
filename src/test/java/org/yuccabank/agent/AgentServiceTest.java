package org.yuccabank.agent;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.google.protobuf.ByteString;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import org.yuccabank.protocol.PeerClient;
import org.yuccabank.protocol.PeerHandler;
import org.yuccabank.protocol.PeerSecurity;
import org.yuccabank.protocol.generated.AgentReport;
import org.yuccabank.protocol.generated.Envelope;
import org.yuccabank.protocol.generated.Invoke;
import org.yuccabank.protocol.generated.InvokeResult;
import org.yuccabank.protocol.generated.OutcomeKind;
import org.yuccabank.protocol.generated.ResourceVector;
import org.yuccabank.protocol.generated.TaskDirective;
import org.yuccabank.protocol.generated.TaskPhase;
import org.yuccabank.standin.CheckpointStore;
import org.yuccabank.standin.StandInConfiguration;
import org.yuccabank.standin.StandInServer;
import org.yuccabank.standin.WorkerRecord;

/** Tests the paths between control, agent, worker and entry over real connections. */
public class AgentServiceTest {

    private static final Duration TIMEOUT = Duration.ofSeconds(10);
    private static final InetSocketAddress ANY =
            new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);

    private StubControl control;
    private StandInServer worker;
    private AgentService agent;
    private PeerClient entry;

    @BeforeMethod
    void startAll() {
        control = new StubControl();
        // The worker needs the agent's announcement address before the agent starts, so a free port
        // is chosen in advance.
        int announcementPort = freePort();
        InetSocketAddress announcements =
                new InetSocketAddress(InetAddress.getLoopbackAddress(), announcementPort);
        worker =
                StandInServer.start(
                        StandInConfiguration.withDefaults(
                                "target-1",
                                "studio",
                                List.of("preview", "charge"),
                                ANY,
                                Optional.of(announcements)),
                        CheckpointStore.empty());
        agent =
                AgentService.start(
                        new AgentConfiguration(
                                "agent-1",
                                "host-1",
                                "dc-1",
                                "rack-1",
                                ANY,
                                ANY,
                                announcements,
                                worker.address(),
                                List.of(control.address()),
                                AgentConfiguration.Limits.defaults()),
                        PeerSecurity.plaintext());
        entry = PeerClient.of(control.transport(), agent.address(), PeerHandler.none());
        await(() -> control.reports().stream().anyMatch(report -> report.getTargetsCount() > 0));
    }

    @AfterMethod(alwaysRun = true)
    void stopAll() {
        entry.stop();
        agent.stop();
        worker.stop();
        control.stop();
    }

    private static int freePort() {
        try (java.net.ServerSocket socket = new java.net.ServerSocket(0)) {
            return socket.getLocalPort();
        } catch (java.io.IOException exception) {
            throw new java.io.UncheckedIOException(exception);
        }
    }

    private static void await(BooleanSupplier condition) {
        long end = System.nanoTime() + TIMEOUT.toNanos();
        while (!condition.getAsBoolean()) {
            assertTrue(System.nanoTime() < end, "condition not met in time");
            try {
                Thread.sleep(20);
            } catch (InterruptedException exception) {
                throw new IllegalStateException(exception);
            }
        }
    }

    private InvokeResult invoke(Invoke request) {
        Envelope envelope = Envelope.newBuilder().setInvoke(request).build();
        return entry.request(envelope, TIMEOUT).block().getInvokeResult();
    }

    private long incarnation() {
        return control.reports().get(0).getIncarnation();
    }

    private Invoke.Builder request(String key, String kind) {
        return Invoke.newBuilder()
                .setRequestId(key)
                .setAccount("studio-majorelle")
                .setKind(kind)
                .setDeadlineMillis(5_000)
                .setBody(ByteString.copyFromUtf8("body of " + key));
    }

    private long runs(String key) {
        return worker.worker().records().all().stream()
                .filter(entry -> entry.event() == WorkerRecord.Event.REQUEST_STARTED)
                .filter(entry -> entry.id().equals(key))
                .count();
    }

    /** Guards against a request that is lost, run twice or answered with a truncated body. */
    @Test
    public void requestReachesTheTargetAndReturnsItsCompleteResponse() {
        InvokeResult result = invoke(request("r-1", "preview").build());
        assertEquals(result.getOutcome(), OutcomeKind.RAN);
        assertTrue(result.getBody().toStringUtf8().contains("body of r-1"));
        assertEquals(runs("r-1"), 1);
    }

    /**
     * Guards against a second run of an at-most-once request that its entry repeats, and against an
     * outcome that control never receives.
     */
    @Test
    public void repeatedAtMostOnceRequestRunsOnceAndItsOutcomeIsReported() {
        Invoke claim =
                request("charge-1", "charge")
                        .setAtMostOnce(true)
                        .setFencingToken(7)
                        .setIncarnation(incarnation())
                        .build();
        assertEquals(invoke(claim).getOutcome(), OutcomeKind.RAN);
        assertEquals(invoke(claim).getOutcome(), OutcomeKind.RAN);
        assertEquals(runs("charge-1"), 1);
        await(
                () ->
                        control.reports().stream()
                                .flatMap(report -> report.getClaimOutcomesList().stream())
                                .anyMatch(outcome -> outcome.getOutcome() == OutcomeKind.RAN));
    }

    /** Guards against a drain that ends before the tasks are checkpointed, stopped and reported. */
    @Test
    public void taskRunsUnderItsLeaseAndIsStoppedOnDrain() {
        control.queue(
                TaskDirective.newBuilder()
                        .setAction(TaskDirective.Action.START)
                        .setTaskId("job-1/0")
                        .setKind("render")
                        .setFencingToken(11)
                        .setLeaseMillis(10_000)
                        .setRunTimeMillis(600_000)
                        .setCheckpointIntervalMillis(60_000)
                        .setReservation(ResourceVector.newBuilder().setProcessorMillis(1_000))
                        .build());
        await(() -> phaseReported(TaskPhase.TASK_RUNNING));
        assertTrue(agent.stop());
        assertTrue(phaseReported(TaskPhase.TASK_STOPPED));
        List<WorkerRecord.Event> events =
                worker.worker().records().all().stream().map(WorkerRecord::event).toList();
        assertEquals(
                events,
                List.of(
                        WorkerRecord.Event.TASK_STARTED,
                        WorkerRecord.Event.TASK_CHECKPOINTED,
                        WorkerRecord.Event.TASK_STOPPED));
    }

    private boolean phaseReported(TaskPhase phase) {
        return control.reports().stream()
                .map(AgentReport::getTasksList)
                .flatMap(List::stream)
                .anyMatch(task -> task.getPhase() == phase);
    }

    /** Guards against a drain that drops a request which the target is running. */
    @Test
    public void drainWaitsForTheRequestInProgress() {
        worker.worker().setBehaviour(new org.yuccabank.standin.Behaviour(false, false, 500, false));
        CompletableFuture<Envelope> response =
                entry.request(
                                Envelope.newBuilder().setInvoke(request("r-2", "preview")).build(),
                                TIMEOUT)
                        .toFuture();
        await(() -> runs("r-2") == 1);
        agent.stop();
        assertEquals(response.join().getInvokeResult().getOutcome(), OutcomeKind.RAN);
    }
}
