package org.yuccabank.control;

import java.util.Collection;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import org.yuccabank.model.Resources;
import org.yuccabank.protocol.PeerConnection;
import org.yuccabank.protocol.generated.AgentReport;
import org.yuccabank.protocol.generated.Hello;
import org.yuccabank.protocol.generated.ResourceVector;
import org.yuccabank.protocol.generated.TargetState;
import org.yuccabank.protocol.generated.TaskPhase;
import org.yuccabank.protocol.generated.TaskState;

/**
 * What the leader knows about one incarnation of an agent, merged from its reports. Confined to the
 * thread of the replica.
 */
final class HostEntry {

    private final String hostId;
    private final long incarnation;
    private final Map<String, TargetState> targets = new LinkedHashMap<>();
    private final Map<String, TaskState> tasks = new LinkedHashMap<>();
    private PeerConnection connection;
    private AgentReport last = AgentReport.getDefaultInstance();
    private Resources capacity = Resources.none();
    private Resources serviceReservation = Resources.none();
    private long lastReportMillis;
    private long configurationVersion;
    private boolean routingChanged;

    private HostEntry(String hostId, long incarnation) {
        this.hostId = hostId;
        this.incarnation = incarnation;
    }

    static HostEntry of(String hostId, long incarnation) {
        return new HostEntry(hostId, incarnation);
    }

    /**
     * Merges a report. A delta holds every change since the newest report that was acknowledged, so
     * a gap between two reports loses nothing; an older report that arrives late is ignored.
     */
    void apply(
            AgentReport report, long reportedVersion, PeerConnection reportedOn, long nowMillis) {
        if (report.getSequence() <= last.getSequence()) {
            return;
        }
        connection = reportedOn;
        lastReportMillis = nowMillis;
        configurationVersion = reportedVersion;
        if (report.getFull()) {
            applyFull(report);
        }
        for (TargetState target : report.getTargetsList()) {
            TargetState before = targets.put(target.getTargetId(), target);
            routingChanged |= before == null || before.getLeaving() != target.getLeaving();
        }
        for (TaskState task : report.getTasksList()) {
            applyTask(task);
        }
        if (report.hasCapacity()) {
            capacity = resources(report.getCapacity());
            serviceReservation = resources(report.getServiceReservation());
        }
        if (report.hasUsage()) {
            last = last.toBuilder().setUsage(report.getUsage()).build();
        }
        routingChanged |= last.getDraining() != report.getDraining();
        last =
                last.toBuilder()
                        .setSequence(report.getSequence())
                        .setDraining(report.getDraining())
                        .setUsageAgeMillis(report.getUsageAgeMillis())
                        .build();
    }

    private void applyFull(AgentReport report) {
        routingChanged |=
                !targets.keySet()
                        .equals(
                                report.getTargetsList().stream()
                                        .map(TargetState::getTargetId)
                                        .collect(java.util.stream.Collectors.toSet()));
        routingChanged |= !last.getAgentAddress().equals(report.getAgentAddress());
        targets.clear();
        tasks.clear();
        last = report.toBuilder().clearTargets().clearTasks().clearClaimOutcomes().build();
    }

    private void applyTask(TaskState task) {
        boolean ended =
                task.getPhase() == TaskPhase.TASK_STOPPED
                        || task.getPhase() == TaskPhase.TASK_FINISHED
                        || task.getPhase() == TaskPhase.TASK_FAILED
                        || task.getPhase() == TaskPhase.TASK_REFUSED;
        if (ended) {
            tasks.remove(task.getTaskId());
        } else {
            tasks.put(task.getTaskId(), task);
        }
    }

    static Resources resources(ResourceVector vector) {
        return Resources.of(
                vector.getProcessorMillis(), vector.getMemoryMebibytes(), vector.getAccelerators());
    }

    static ResourceVector vector(Resources resources) {
        return ResourceVector.newBuilder()
                .setProcessorMillis(resources.processorMillis())
                .setMemoryMebibytes(resources.memoryMebibytes())
                .setAccelerators(resources.accelerators())
                .build();
    }

    long sequence() {
        return last.getSequence();
    }

    boolean takeRoutingChange() {
        boolean changed = routingChanged;
        routingChanged = false;
        return changed;
    }

    boolean isSuspect(long nowMillis) {
        return nowMillis - lastReportMillis > HostRegistry.SUSPECT_MILLIS;
    }

    String hostId() {
        return hostId;
    }

    long incarnation() {
        return incarnation;
    }

    long lastSequence() {
        return last.getSequence();
    }

    String processId() {
        return connection()
                .flatMap(PeerConnection::remoteHello)
                .map(Hello::getProcessId)
                .orElse(hostId);
    }

    String dataCentre() {
        return last.getDataCentre();
    }

    String rack() {
        return last.getRack();
    }

    String agentAddress() {
        return last.getAgentAddress();
    }

    boolean draining() {
        return last.getDraining();
    }

    Resources capacity() {
        return capacity;
    }

    /** Part of the capacity that the service instance holds whatever its load. */
    Resources serviceReservation() {
        return serviceReservation;
    }

    Resources usage() {
        return resources(last.getUsage());
    }

    long lastReportMillis() {
        return lastReportMillis;
    }

    long configurationVersion() {
        return configurationVersion;
    }

    Collection<TargetState> targets() {
        return Collections.unmodifiableCollection(targets.values());
    }

    /** Tasks that the agent says it starts or runs. */
    Collection<TaskState> tasks() {
        return Collections.unmodifiableCollection(tasks.values());
    }

    Optional<TaskState> task(String taskId) {
        return Optional.ofNullable(tasks.get(taskId));
    }

    Optional<PeerConnection> connection() {
        return Optional.ofNullable(connection).filter(PeerConnection::isOpen);
    }

    List<String> services() {
        return targets.values().stream().map(TargetState::getService).distinct().toList();
    }

    @Override
    public String toString() {
        return Objects.toString(hostId);
    }
}
