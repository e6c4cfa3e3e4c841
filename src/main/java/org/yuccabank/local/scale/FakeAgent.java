package org.yuccabank.local.scale;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import org.yuccabank.protocol.LeaderClient;
import org.yuccabank.protocol.PeerConnection;
import org.yuccabank.protocol.PeerTransport;
import org.yuccabank.protocol.generated.AgentDirectives;
import org.yuccabank.protocol.generated.AgentReport;
import org.yuccabank.protocol.generated.Envelope;
import org.yuccabank.protocol.generated.ResourceVector;
import org.yuccabank.protocol.generated.TargetState;
import org.yuccabank.protocol.generated.TaskDirective;
import org.yuccabank.protocol.generated.TaskPhase;
import org.yuccabank.protocol.generated.TaskState;
import reactor.core.publisher.Mono;

/**
 * Reports to control like an agent, without a worker: it runs every task that it is given until it
 * is told to stop. Confined to the thread of its caller, except for the counters.
 */
final class FakeAgent {

    private static final Duration REPORT_TIMEOUT = Duration.ofSeconds(2);
    private static final int FULL_INTERVAL = 30;

    private final String hostId;
    private final long incarnation;
    private final LeaderClient control;
    private final AtomicLong bytes = new AtomicLong();
    private final AtomicLong messages = new AtomicLong();
    private final Map<String, TaskState> tasks = new ConcurrentHashMap<>();
    private volatile long version;
    private volatile boolean fullWanted = true;
    private long sequence;

    FakeAgent(
            int number,
            PeerTransport transport,
            List<InetSocketAddress> control,
            long incarnation) {
        this.hostId = "host-" + number;
        this.incarnation = incarnation;
        this.control = LeaderClient.of(transport, control, this::pushed);
    }

    private Mono<Envelope> pushed(PeerConnection from, Envelope message) {
        takeUp(message.getAgentDirectives());
        return Mono.empty();
    }

    void report() {
        boolean full = fullWanted || sequence % FULL_INTERVAL == 0;
        AgentReport.Builder report =
                AgentReport.newBuilder()
                        .setHostId(hostId)
                        .setIncarnation(incarnation)
                        .setSequence(++sequence)
                        .setFull(full)
                        .setUsage(vector(8_000, 30_000))
                        .setUsageAgeMillis(1_000)
                        .addTargets(target());
        if (full) {
            report.setDataCentre("dc-" + hostId.hashCode() % 3)
                    .setRack("rack")
                    .setAgentAddress("127.0.0.1:1")
                    .setCapacity(vector(16_000, 61_440))
                    .addAllTasks(tasks.values());
        }
        Envelope message =
                Envelope.newBuilder()
                        .setAgentReport(report)
                        .setConfigurationVersion(version)
                        .build();
        bytes.addAndGet(message.getSerializedSize());
        messages.incrementAndGet();
        control.request(message, REPORT_TIMEOUT)
                .subscribe(
                        answer -> {
                            bytes.addAndGet(answer.getSerializedSize());
                            takeUp(answer.getAgentDirectives());
                        },
                        error -> fullWanted = true);
    }

    private TargetState target() {
        return TargetState.newBuilder()
                .setTargetId("target-" + hostId)
                .setService("service")
                .setSlots(8)
                .setConnections(64)
                .setSlotsUsed(3)
                .addKinds("preview")
                .build();
    }

    private static ResourceVector vector(long processorMillis, long memoryMebibytes) {
        return ResourceVector.newBuilder()
                .setProcessorMillis(processorMillis)
                .setMemoryMebibytes(memoryMebibytes)
                .build();
    }

    private void takeUp(AgentDirectives directives) {
        fullWanted = directives.getFullReportWanted();
        if (directives.hasRules()) {
            version = Math.max(version, directives.getRules().getVersion());
        }
        for (TaskDirective directive : directives.getDirectivesList()) {
            if (directive.getAction() == TaskDirective.Action.START) {
                tasks.put(
                        directive.getTaskId(),
                        TaskState.newBuilder()
                                .setTaskId(directive.getTaskId())
                                .setFencingToken(directive.getFencingToken())
                                .setPhase(TaskPhase.TASK_RUNNING)
                                .setUsage(directive.getReservation())
                                .build());
                fullWanted = true;
            }
        }
    }

    long version() {
        return version;
    }

    long bytes() {
        return bytes.get();
    }

    long messages() {
        return messages.get();
    }

    int taskCount() {
        return tasks.size();
    }

    void stop() {
        control.stop();
    }
}
