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
    private static final int REPORTS_PER_FULL_REPORT = 30;

    private final String hostId;
    private final long incarnation;
    private final LeaderClient control;
    private final AtomicLong transferredBytes = new AtomicLong();
    private final AtomicLong sentMessages = new AtomicLong();
    private final Map<String, TaskState> tasks = new ConcurrentHashMap<>();
    private volatile long rulesVersion;
    private volatile boolean fullReportRequested = true;
    private long sequence;

    FakeAgent(
            int number,
            PeerTransport transport,
            List<InetSocketAddress> control,
            long incarnation) {
        this.hostId = "host-" + number;
        this.incarnation = incarnation;
        this.control = LeaderClient.of(transport, control, this::onPushedDirectives);
    }

    private Mono<Envelope> onPushedDirectives(PeerConnection from, Envelope message) {
        applyDirectives(message.getAgentDirectives());
        return Mono.empty();
    }

    void sendReport() {
        boolean full = fullReportRequested || sequence % REPORTS_PER_FULL_REPORT == 0;
        AgentReport.Builder report =
                AgentReport.newBuilder()
                        .setHostId(hostId)
                        .setIncarnation(incarnation)
                        .setSequence(++sequence)
                        .setFull(full)
                        .setUsage(resourceVector(8_000, 30_000))
                        .setUsageAgeMillis(1_000)
                        .addTargets(targetState());
        if (full) {
            report.setDataCentre("dc-" + hostId.hashCode() % 3)
                    .setRack("rack")
                    .setAgentAddress("127.0.0.1:1")
                    .setCapacity(resourceVector(16_000, 61_440))
                    .addAllTasks(tasks.values());
        }
        Envelope message =
                Envelope.newBuilder()
                        .setAgentReport(report)
                        .setConfigurationVersion(rulesVersion)
                        .build();
        transferredBytes.addAndGet(message.getSerializedSize());
        sentMessages.incrementAndGet();
        control.request(message, REPORT_TIMEOUT)
                .subscribe(
                        answer -> {
                            transferredBytes.addAndGet(answer.getSerializedSize());
                            applyDirectives(answer.getAgentDirectives());
                        },
                        error -> fullReportRequested = true);
    }

    private TargetState targetState() {
        return TargetState.newBuilder()
                .setTargetId("target-" + hostId)
                .setService("service")
                .setSlots(8)
                .setConnections(64)
                .setSlotsUsed(3)
                .addKinds("preview")
                .build();
    }

    private static ResourceVector resourceVector(long processorMillis, long memoryMebibytes) {
        return ResourceVector.newBuilder()
                .setProcessorMillis(processorMillis)
                .setMemoryMebibytes(memoryMebibytes)
                .build();
    }

    private void applyDirectives(AgentDirectives directives) {
        fullReportRequested = directives.getFullReportWanted();
        if (directives.hasRules()) {
            rulesVersion = Math.max(rulesVersion, directives.getRules().getVersion());
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
                fullReportRequested = true;
            }
        }
    }

    long rulesVersion() {
        return rulesVersion;
    }

    long transferredBytes() {
        return transferredBytes.get();
    }

    long sentMessages() {
        return sentMessages.get();
    }

    int taskCount() {
        return tasks.size();
    }

    void stop() {
        control.stop();
    }
}
