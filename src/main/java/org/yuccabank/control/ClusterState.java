package org.yuccabank.control;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.yuccabank.model.HostId;
import org.yuccabank.model.Resources;
import org.yuccabank.model.WorkKind;
import org.yuccabank.policy.placement.HostStatus;
import org.yuccabank.policy.placement.HostView;
import org.yuccabank.policy.placement.KindLoad;
import org.yuccabank.protocol.generated.TargetState;
import org.yuccabank.state.SystemState;
import org.yuccabank.state.generated.HostRecord;
import org.yuccabank.state.generated.LeaseRecord;
import org.yuccabank.state.generated.TaskRecord;

/**
 * The hosts as seen by the placement policy, with their reported capacity and the resources
 * reserved by leases and by grants that are not yet committed. Confined to the replica thread.
 *
 * <p>Invariant: every lease that may still be active counts as reserved, even if its host does not
 * report the task.
 */
final class ClusterState {

    private final HostRegistry registry;
    private final Map<String, PendingGrant> pendingGrants = new LinkedHashMap<>();

    private ClusterState(HostRegistry registry) {
        this.registry = registry;
    }

    /**
     * A lease that has been proposed but not yet committed.
     *
     * @param hostId host of the lease
     * @param kind kind of the task
     * @param reservation resources reserved for the task
     */
    record PendingGrant(String hostId, WorkKind kind, Resources reservation) {}

    static ClusterState of(HostRegistry registry) {
        return new ClusterState(registry);
    }

    void addPending(String taskId, PendingGrant grant) {
        pendingGrants.put(taskId, grant);
    }

    void removePending(String taskId) {
        pendingGrants.remove(taskId);
    }

    /**
     * Returns the resources reserved by the pending grant of a task.
     *
     * @param taskId the task
     * @return the reservation, or empty if no grant is pending
     */
    Optional<Resources> pendingReservation(String taskId) {
        return Optional.ofNullable(pendingGrants.get(taskId)).map(PendingGrant::reservation);
    }

    /**
     * Returns a view of every host. The list is modifiable, so that a view can be replaced after a
     * task is placed on its host.
     *
     * @param state the replicated state
     * @param nowMillis current time
     * @return the views in the order of the registry
     */
    List<HostView> hostViews(SystemState state, long nowMillis) {
        Map<String, List<PendingGrant>> pending = new HashMap<>();
        for (PendingGrant grant : pendingGrants.values()) {
            pending.computeIfAbsent(grant.hostId(), host -> new ArrayList<>()).add(grant);
        }
        List<HostView> views = new ArrayList<>();
        for (ReportedHost host : registry.hosts()) {
            List<PendingGrant> grants = pending.getOrDefault(host.hostId(), List.of());
            views.add(hostView(host, state, grants, nowMillis));
        }
        return views;
    }

    /**
     * Returns the view of one host.
     *
     * @param hostId a registered host
     * @param state the replicated state
     * @param nowMillis current time
     * @return its view
     */
    HostView hostView(String hostId, SystemState state, long nowMillis) {
        ReportedHost host = registry.host(hostId).orElseThrow();
        List<PendingGrant> pending =
                pendingGrants.values().stream()
                        .filter(grant -> grant.hostId().equals(hostId))
                        .toList();
        return hostView(host, state, pending, nowMillis);
    }

    /**
     * Returns views of the hosts without any tasks, used to determine whether a task can ever run.
     *
     * @param nowMillis current time
     * @return the views, whose only load is that of the service instances
     */
    List<HostView> unloadedHostViews(long nowMillis) {
        List<HostView> views = new ArrayList<>();
        for (ReportedHost host : registry.hosts()) {
            Map<WorkKind, KindLoad> kinds = new LinkedHashMap<>();
            addTargetLoads(host, kinds);
            views.add(
                    new HostView(
                            HostId.of(host.hostId()),
                            host.dataCentre(),
                            host.rack(),
                            HostStatus.READY,
                            host.capacity().minus(host.serviceReservation()),
                            Resources.none(),
                            List.copyOf(kinds.values()),
                            0,
                            nowMillis,
                            0));
        }
        return views;
    }

    private static HostView hostView(
            ReportedHost host, SystemState state, List<PendingGrant> pending, long nowMillis) {
        Resources reserved = host.serviceReservation();
        Map<WorkKind, KindLoad> kinds = new LinkedHashMap<>();
        addTargetLoads(host, kinds);
        int unreportedTasks = pending.size();
        for (TaskRecord task : state.leasedTasksOfHost(host.hostId())) {
            LeaseRecord lease = task.getLease();
            Resources reservation = ReportedHost.toResources(lease.getReservation());
            reserved = reserved.plus(reservation);
            unreportedTasks += host.task(task.getTaskId()).isPresent() ? 0 : 1;
            state.job(task.getJobId())
                    .map(job -> WorkKind.of(job.getSpecification().getKind()))
                    .ifPresent(kind -> addLoad(kinds, kind, reservation));
        }
        for (PendingGrant grant : pending) {
            reserved = reserved.plus(grant.reservation());
            addLoad(kinds, grant.kind(), grant.reservation());
        }
        return new HostView(
                HostId.of(host.hostId()),
                host.dataCentre(),
                host.rack(),
                status(host, state, nowMillis),
                host.capacity(),
                reserved,
                List.copyOf(kinds.values()),
                slotUtilisation(host),
                host.lastReportMillis(),
                unreportedTasks);
    }

    private static void addTargetLoads(ReportedHost host, Map<WorkKind, KindLoad> kinds) {
        for (TargetState target : host.targets()) {
            for (String name : target.getKindsList()) {
                WorkKind kind = WorkKind.of(name);
                kinds.put(kind, new KindLoad(kind, true, 1, 0));
            }
        }
    }

    private static void addLoad(
            Map<WorkKind, KindLoad> kinds, WorkKind kind, Resources reservation) {
        KindLoad added = new KindLoad(kind, false, 1, reservation.processorMillis());
        kinds.merge(
                kind,
                added,
                (first, second) ->
                        new KindLoad(
                                kind,
                                first.urgent(),
                                first.tasks() + second.tasks(),
                                first.processorMillis() + second.processorMillis()));
    }

    private static HostStatus status(ReportedHost host, SystemState state, long nowMillis) {
        boolean drainRequested =
                state.host(host.hostId()).map(HostRecord::getDraining).orElse(false);
        if (host.draining() || drainRequested) {
            return HostStatus.DRAINING;
        }
        return host.isSuspect(nowMillis) ? HostStatus.SUSPECT : HostStatus.READY;
    }

    private static double slotUtilisation(ReportedHost host) {
        int slots = host.targets().stream().mapToInt(TargetState::getSlots).sum();
        int used = host.targets().stream().mapToInt(TargetState::getSlotsUsed).sum();
        return slots == 0 ? 0 : (double) used / slots;
    }
}
