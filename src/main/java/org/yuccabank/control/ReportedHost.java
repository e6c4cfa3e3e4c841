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
 * State of one incarnation of an agent, merged from its reports. Confined to the replica thread.
 */
final class ReportedHost {

    private final String hostId;
    private final long incarnation;
    private final Map<String, TargetState> targets = new LinkedHashMap<>();
    private final Map<String, TaskState> tasks = new LinkedHashMap<>();
    private PeerConnection connection;
    private AgentReport latestReport = AgentReport.getDefaultInstance();
    private Resources capacity = Resources.none();
    private Resources serviceReservation = Resources.none();
    private long lastReportMillis;
    private long configurationVersion;
    private boolean routingChanged;

    private ReportedHost(String hostId, long incarnation) {
        this.hostId = hostId;
        this.incarnation = incarnation;
    }

    static ReportedHost of(String hostId, long incarnation) {
        return new ReportedHost(hostId, incarnation);
    }

    /**
     * Merges a report. A delta contains every change since the latest acknowledged report, so a
     * lost report loses no change. Reports that arrive out of order are ignored.
     */
    void merge(
            AgentReport report,
            long newConfigurationVersion,
            PeerConnection newConnection,
            long nowMillis) {
        if (report.getSequence() <= latestReport.getSequence()) {
            return;
        }
        connection = newConnection;
        lastReportMillis = nowMillis;
        configurationVersion = newConfigurationVersion;
        if (report.getFull()) {
            resetTo(report);
        }
        for (TargetState target : report.getTargetsList()) {
            TargetState before = targets.put(target.getTargetId(), target);
            routingChanged |= before == null || before.getLeaving() != target.getLeaving();
        }
        for (TaskState task : report.getTasksList()) {
            mergeTask(task);
        }
        if (report.hasCapacity()) {
            capacity = toResources(report.getCapacity());
            serviceReservation = toResources(report.getServiceReservation());
        }
        if (report.hasUsage()) {
            latestReport = latestReport.toBuilder().setUsage(report.getUsage()).build();
        }
        routingChanged |= latestReport.getDraining() != report.getDraining();
        latestReport =
                latestReport.toBuilder()
                        .setSequence(report.getSequence())
                        .setDraining(report.getDraining())
                        .setUsageAgeMillis(report.getUsageAgeMillis())
                        .build();
    }

    private void resetTo(AgentReport report) {
        routingChanged |=
                !targets.keySet()
                        .equals(
                                report.getTargetsList().stream()
                                        .map(TargetState::getTargetId)
                                        .collect(java.util.stream.Collectors.toSet()));
        routingChanged |= !latestReport.getAgentAddress().equals(report.getAgentAddress());
        targets.clear();
        tasks.clear();
        latestReport = report.toBuilder().clearTargets().clearTasks().clearClaimOutcomes().build();
    }

    private void mergeTask(TaskState task) {
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

    static Resources toResources(ResourceVector vector) {
        return Resources.of(
                vector.getProcessorMillis(), vector.getMemoryMebibytes(), vector.getAccelerators());
    }

    static ResourceVector toResourceVector(Resources resources) {
        return ResourceVector.newBuilder()
                .setProcessorMillis(resources.processorMillis())
                .setMemoryMebibytes(resources.memoryMebibytes())
                .setAccelerators(resources.accelerators())
                .build();
    }

    long sequence() {
        return latestReport.getSequence();
    }

    boolean getAndClearRoutingChanged() {
        boolean changed = routingChanged;
        routingChanged = false;
        return changed;
    }

    boolean isSuspect(long nowMillis) {
        return nowMillis - lastReportMillis > HostRegistry.SUSPECT_TIMEOUT_MILLIS;
    }

    String hostId() {
        return hostId;
    }

    long incarnation() {
        return incarnation;
    }

    long lastSequence() {
        return latestReport.getSequence();
    }

    String processId() {
        return connection()
                .flatMap(PeerConnection::remoteHello)
                .map(Hello::getProcessId)
                .orElse(hostId);
    }

    String dataCentre() {
        return latestReport.getDataCentre();
    }

    String rack() {
        return latestReport.getRack();
    }

    String agentAddress() {
        return latestReport.getAgentAddress();
    }

    boolean draining() {
        return latestReport.getDraining();
    }

    Resources capacity() {
        return capacity;
    }

    /**
     * Returns the part of the capacity that is reserved for the service instance regardless of its
     * load.
     */
    Resources serviceReservation() {
        return serviceReservation;
    }

    Resources usage() {
        return toResources(latestReport.getUsage());
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

    /** Returns the tasks that the agent reports as starting or running. */
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
