package org.yuccabank.control;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.Test;
import org.yuccabank.policy.placement.ScanningPlacement;
import org.yuccabank.protocol.generated.CancelWorkflow;
import org.yuccabank.protocol.generated.CommandRequest;
import org.yuccabank.protocol.generated.CommandResult;
import org.yuccabank.protocol.generated.Envelope;
import org.yuccabank.protocol.generated.LeaseGranted;
import org.yuccabank.protocol.generated.ReplicaMessage;
import org.yuccabank.protocol.generated.StateCommand;
import org.yuccabank.protocol.generated.SubmitJob;
import org.yuccabank.protocol.generated.WorkflowDefinition;
import org.yuccabank.protocol.generated.WorkflowRequest;
import org.yuccabank.replication.ReplicaMember;
import org.yuccabank.replication.ReplicaService;
import org.yuccabank.replication.ReplicaSettings;
import org.yuccabank.replication.ReplicaTiming;
import org.yuccabank.state.ReplicatedState;

/** Tests a leader that is cut off from the other replicas or whose time of day is stepped. */
public final class ControlHandlerTest {

    private static final InetSocketAddress NO_ADDRESS = new InetSocketAddress("127.0.0.1", 0);
    private static final long TIMEOUT_MILLIS = 20_000;

    /** Longer than the lease and shorter than the time until a cut off leader steps down. */
    private static final long LEASE_ENDED_MILLIS = 350;

    private final Map<String, ReplicaService> replicas = new HashMap<>();
    private final Map<String, ControlHandler> handlers = new HashMap<>();
    private final Map<String, ControlLeader> leaders = new HashMap<>();
    private volatile boolean cut;

    @AfterMethod
    public void stop() {
        replicas.values().forEach(ReplicaService::stop);
    }

    private void start(String id, List<ReplicaMember> members, Path directory) {
        ReplicatedState state = ReplicatedState.empty();
        ReplicaSettings settings =
                new ReplicaSettings(
                        "test", id, directory, members, ReplicaTiming.defaults(), 1_000);
        ReplicaService replica = ReplicaService.of(settings, state, this::deliver);
        ControlConfiguration configuration =
                new ControlConfiguration(
                        id,
                        "d",
                        "test",
                        id,
                        members,
                        directory,
                        NO_ADDRESS,
                        NO_ADDRESS,
                        3_000,
                        0.05,
                        ReplicaTiming.defaults());
        ControlLeader leader =
                ControlLeader.of(
                        configuration,
                        replica,
                        state,
                        ScanningPlacement.bestFit(),
                        RandomGenerator.getDefault());
        replicas.put(id, replica);
        leaders.put(id, leader);
        handlers.put(id, ControlHandler.of(replica, leader));
    }

    private void deliver(String address, ReplicaMessage message) {
        if (!cut) {
            replicas.get(address).receive(message);
        }
    }

    private String awaitLeader() throws InterruptedException {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MILLIS);
        while (replicas.values().stream().noneMatch(ReplicaService::isLeader)) {
            assertTrue(System.nanoTime() < end, "no leader");
            Thread.sleep(5);
        }
        return replicas.keySet().stream()
                .filter(id -> replicas.get(id).isLeader())
                .findFirst()
                .orElseThrow();
    }

    /**
     * Guards against a leader that is cut off and denies a queue that others have added, because it
     * refuses a submission or a cancellation without having to commit it.
     */
    @Test
    public void shouldNotRefuseChangeWithoutLeadership() throws Exception {
        List<ReplicaMember> members =
                List.of(
                        ReplicaMember.voter("a", "a"),
                        ReplicaMember.voter("b", "b"),
                        ReplicaMember.voter("c", "c"));
        for (ReplicaMember member : members) {
            Path directory = Files.createTempDirectory("handler");
            start(member.replicaId(), members, directory);
        }
        replicas.values().forEach(replica -> assertTrue(replica.start().isSuccess()));
        ControlHandler handler = handlers.get(awaitLeader());
        cut = true;
        Thread.sleep(LEASE_ENDED_MILLIS);
        List<WorkflowRequest> requests =
                List.of(
                        WorkflowRequest.newBuilder()
                                .setSubmit(WorkflowDefinition.getDefaultInstance())
                                .build(),
                        WorkflowRequest.newBuilder()
                                .setCancel(CancelWorkflow.getDefaultInstance())
                                .build());
        for (WorkflowRequest request : requests) {
            Envelope reply =
                    handler.handle(null, Envelope.newBuilder().setWorkflowRequest(request).build())
                            .block();
            assertEquals(reply.getProtocolError().getCode(), "not-leader", reply.toString());
        }
    }

    private static CommandResult propose(Proposer proposer, StateCommand.Builder command)
            throws Exception {
        return proposer.propose(command)
                .toCompletableFuture()
                .get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Guards against a task that runs twice because a step of the time of day ended its lease. */
    @Test
    public void shouldNotEndLeaseByTimeOfDay() throws Exception {
        List<ReplicaMember> members = List.of(ReplicaMember.voter("a", "a"));
        start("a", members, Files.createTempDirectory("handler"));
        ReplicaService replica = replicas.get("a");
        assertTrue(replica.start().isSuccess());
        ControlLeader leader = leaders.get(awaitLeader());
        Proposer proposer = Proposer.of(replica, System::currentTimeMillis);
        CommandRequest.Builder job =
                CommandRequest.newBuilder()
                        .setAccount("studio")
                        .setSubmitJob(SubmitJob.newBuilder().setKind("render").setTaskCount(1));
        String jobId = propose(proposer, StateCommand.newBuilder().setRequest(job)).getIdentifier();
        LeaseGranted.Builder lease =
                LeaseGranted.newBuilder().setTaskId(jobId + ".0").setHostId("h");
        CommandResult granted = propose(proposer, StateCommand.newBuilder().setLeaseGranted(lease));
        assertEquals(granted.getVerdict(), CommandResult.Verdict.ACCEPTED);
        long stepMillis = TimeUnit.HOURS.toMillis(1);
        replica.call(
                        () -> {
                            leader.runRound(System.currentTimeMillis() + stepMillis);
                            return true;
                        })
                .toCompletableFuture()
                .get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        // The end of a lease would be committed before this command.
        CommandResult again = propose(proposer, StateCommand.newBuilder().setLeaseGranted(lease));
        assertEquals(again.getVerdict(), CommandResult.Verdict.CONFLICT);
    }
}
