package org.yuccabank.local.scale;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.UUID;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.yuccabank.control.ControlConfiguration;
import org.yuccabank.control.ControlService;
import org.yuccabank.policy.placement.PlacementPolicy;
import org.yuccabank.protocol.LeaderClient;
import org.yuccabank.protocol.PeerHandler;
import org.yuccabank.protocol.PeerSecurity;
import org.yuccabank.protocol.PeerTimings;
import org.yuccabank.protocol.PeerTransport;
import org.yuccabank.protocol.generated.ApplyRules;
import org.yuccabank.protocol.generated.CommandRequest;
import org.yuccabank.protocol.generated.CommandResult;
import org.yuccabank.protocol.generated.Envelope;
import org.yuccabank.protocol.generated.Hello;
import org.yuccabank.protocol.generated.ResourceVector;
import org.yuccabank.protocol.generated.Role;
import org.yuccabank.protocol.generated.SubmitJob;
import org.yuccabank.replication.ReplicaMember;
import org.yuccabank.replication.ReplicaTiming;
import reactor.core.publisher.Mono;

/**
 * Benchmark of three real control processes within this process and a number of simulated agents,
 * each with its own connection. Not thread-safe; runs one measurement at a time.
 */
public final class ScaleBench {

    private static final int CONTROL_PROCESSES = 3;
    private static final int AGENT_NETWORK_THREADS = 2;
    private static final int TASKS_PER_AGENT = 8;
    private static final int TASKS_PER_JOB = 8;
    private static final long REPORT_INTERVAL_MILLIS = 1_000;
    private static final Duration TIMEOUT = Duration.ofSeconds(60);
    private static final Duration SETTLE_TIME = Duration.ofSeconds(3);
    private static final double NANOS_PER_MILLI = 1e6;
    private static final int PERCENT = 100;
    private static final String RULES = "batch render checkpoint=60s # asked by the benchmark\n";

    private final Path directory;
    private final PlacementPolicy placement;
    private final Duration duration;
    private final List<ControlService> controls = new ArrayList<>();
    private final List<InetSocketAddress> addresses = new ArrayList<>();
    private final List<FakeAgent> agents = new ArrayList<>();
    private final PeerTransport transport;
    private final LeaderClient operator;
    private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();

    private ScaleBench(Path directory, PlacementPolicy placement, Duration duration)
            throws IOException {
        this.directory = directory;
        this.placement = placement;
        this.duration = duration;
        startControls();
        Hello hello = Hello.newBuilder().setProcessId("bench").setRole(Role.AGENT).build();
        transport =
                PeerTransport.start(
                        hello,
                        () -> 0,
                        PeerTimings.defaults(),
                        PeerSecurity.plaintext(),
                        AGENT_NETWORK_THREADS);
        operator = LeaderClient.of(transport, addresses, PeerHandler.none());
    }

    /**
     * Measures the control processes with a number of agents.
     *
     * @param directory empty directory for the state of the control processes
     * @param placement placement policy
     * @param agentCount number of agents
     * @param duration duration of the measurement, without the setup
     * @return the measurements
     * @throws IOException if no port is available
     */
    public static ScalePoint measure(
            Path directory, PlacementPolicy placement, int agentCount, Duration duration)
            throws IOException {
        ScaleBench bench = new ScaleBench(directory, placement, duration);
        try {
            return bench.run(agentCount);
        } finally {
            bench.stop();
        }
    }

    private void startControls() throws IOException {
        List<ReplicaMember> members = new ArrayList<>();
        for (int index = 1; index <= CONTROL_PROCESSES; index++) {
            InetSocketAddress address = freeAddress();
            addresses.add(address);
            members.add(ReplicaMember.voter("control-" + index, "127.0.0.1:" + address.getPort()));
        }
        for (int index = 1; index <= CONTROL_PROCESSES; index++) {
            String name = "control-" + index;
            ControlConfiguration configuration =
                    new ControlConfiguration(
                            name,
                            "dc-" + index,
                            "cell",
                            name,
                            members,
                            directory.resolve(name),
                            addresses.get(index - 1),
                            new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                            10_000,
                            0.1,
                            ReplicaTiming.defaults());
            controls.add(
                    ControlService.of(configuration, placement, PeerSecurity.plaintext())
                            .start()
                            .get());
        }
    }

    private static InetSocketAddress freeAddress() throws IOException {
        InetAddress loopback = InetAddress.getLoopbackAddress();
        try (ServerSocket socket = new ServerSocket(0, 1, loopback)) {
            return new InetSocketAddress(loopback, socket.getLocalPort());
        }
    }

    private ScalePoint run(int agentCount) {
        long incarnation = System.currentTimeMillis();
        for (int number = 1; number <= agentCount; number++) {
            FakeAgent agent = new FakeAgent(number, transport, addresses, incarnation);
            agents.add(agent);
            long offset = REPORT_INTERVAL_MILLIS * number / agentCount;
            timer.scheduleAtFixedRate(
                    agent::sendReport, offset, REPORT_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
        }
        applyRules(0);
        await(() -> agents.stream().allMatch(agent -> agent.rulesVersion() == 1));
        submitJobs(agentCount * TASKS_PER_AGENT / TASKS_PER_JOB);
        await(() -> taskCount() >= agentCount * TASKS_PER_AGENT);
        Mono.delay(SETTLE_TIME).block();
        return measure(agentCount);
    }

    private ScalePoint measure(int agentCount) {
        Map<String, Long> processorNanosBefore = controlProcessorNanos();
        long bytesBefore = agents.stream().mapToLong(FakeAgent::transferredBytes).sum();
        long startNanos = System.nanoTime();
        Mono.delay(duration).block();
        double elapsedNanos = System.nanoTime() - startNanos;
        Map<String, Long> processorNanosAfter = controlProcessorNanos();
        double bytes = agents.stream().mapToLong(FakeAgent::transferredBytes).sum() - bytesBefore;
        String leader = leaderName();
        double leaderCorePercent = 0;
        double followerCorePercent = 0;
        for (String name : processorNanosAfter.keySet()) {
            double corePercent =
                    PERCENT
                            * (processorNanosAfter.get(name) - processorNanosBefore.get(name))
                            / elapsedNanos;
            if (name.equals(leader)) {
                leaderCorePercent = corePercent;
            } else {
                followerCorePercent = Math.max(followerCorePercent, corePercent);
            }
        }
        long acceptedNanos = applyRules(1);
        await(() -> agents.stream().allMatch(agent -> agent.rulesVersion() == 2));
        double inForceMillis = (System.nanoTime() - acceptedNanos) / NANOS_PER_MILLI;
        return new ScalePoint(
                agentCount,
                taskCount(),
                leaderCorePercent,
                followerCorePercent,
                bytes / agentCount / (elapsedNanos / 1e9),
                inForceMillis,
                controls.get(0).snapshotBytes());
    }

    private Map<String, Long> controlProcessorNanos() {
        Map<String, Long> processorNanos = new HashMap<>();
        for (int index = 1; index <= CONTROL_PROCESSES; index++) {
            processorNanos.put(
                    "control-" + index,
                    ThreadProcessorTimes.controlProcessorNanos("control-" + index));
        }
        return processorNanos;
    }

    private String leaderName() {
        for (int index = 1; index <= CONTROL_PROCESSES; index++) {
            if (controls.get(index - 1).isLeader()) {
                return "control-" + index;
            }
        }
        return "";
    }

    private int taskCount() {
        return agents.stream().mapToInt(FakeAgent::taskCount).sum();
    }

    private long applyRules(long expected) {
        CommandRequest.Builder request =
                newCommand()
                        .setOperator(true)
                        .setApplyRules(
                                ApplyRules.newBuilder()
                                        .setExpectedVersion(expected)
                                        .setText(RULES));
        sendCommand(request);
        return System.nanoTime();
    }

    private void submitJobs(int count) {
        for (int number = 0; number < count; number++) {
            sendCommand(
                    newCommand()
                            .setSubmitJob(
                                    SubmitJob.newBuilder()
                                            .setKind("render")
                                            .setTaskCount(TASKS_PER_JOB)
                                            .setDeclared(
                                                    ResourceVector.newBuilder()
                                                            .setProcessorMillis(1_000)
                                                            .setMemoryMebibytes(2_048))
                                            .setDeclaredRunMillis(TIMEOUT.toMillis())));
        }
    }

    private static CommandRequest.Builder newCommand() {
        return CommandRequest.newBuilder()
                .setCommandId(UUID.randomUUID().toString())
                .setAccount("team");
    }

    private void sendCommand(CommandRequest.Builder request) {
        Envelope message = Envelope.newBuilder().setCommandRequest(request).build();
        CommandResult result =
                operator.request(message, TIMEOUT).map(Envelope::getCommandResult).block();
        if (result.getVerdict() != CommandResult.Verdict.ACCEPTED) {
            throw new IllegalStateException("control rejected the command: " + result.getMessage());
        }
    }

    private static void await(BooleanSupplier condition) {
        long deadlineNanos = System.nanoTime() + TIMEOUT.toNanos();
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() > deadlineNanos) {
                throw new IllegalStateException(
                        "agents or tasks did not reach the expected state in time");
            }
            Mono.delay(Duration.ofMillis(1)).block();
        }
    }

    private void stop() {
        timer.shutdownNow();
        agents.forEach(FakeAgent::stop);
        operator.stop();
        controls.forEach(ControlService::stop);
        transport.stop();
    }
}
