package org.yuccabank.bench;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.yuccabank.model.HostId;
import org.yuccabank.model.Resources;
import org.yuccabank.model.TaskId;
import org.yuccabank.policy.checkpoint.MeanTimeBetweenStops;
import org.yuccabank.policy.eviction.Preemption;
import org.yuccabank.policy.placement.ClusterView;
import org.yuccabank.policy.placement.Feasibility;
import org.yuccabank.policy.placement.HostStatus;
import org.yuccabank.policy.placement.HostView;
import org.yuccabank.policy.placement.PlacementDecision;
import org.yuccabank.policy.placement.TaskRequest;
import org.yuccabank.rules.RuleSet;

/**
 * Applies the decisions of a policy in simulated time, as the control role does. Decisions use only
 * submissions and the reports of hosts. Not thread-safe.
 */
final class BenchScheduler {

    /** A host without a report for this long receives no new work. */
    private static final long SUSPECT_TIMEOUT_MILLIS = 3_000;

    /**
     * Lease duration plus a margin for clock drift, after which all tasks of the host have stopped.
     */
    private static final long DEAD_TIMEOUT_MILLIS = FakeHost.LEASE_MILLIS + 2_000;

    private static final long RETRY_DELAY_MILLIS = 1_000;
    private static final int MAXIMUM_PLACEMENTS_PER_STEP = 600;
    private static final int MAXIMUM_URGENT_FAILURES_PER_STEP = 10;
    private static final int MAXIMUM_PREEMPTION_HOSTS = 24;
    private static final long MINIMUM_PREEMPTION_INTERVAL_MILLIS = 2_500;

    private final PolicySet policy;
    private final List<HostState> hosts = new ArrayList<>();
    private final ClusterView cluster;
    private final Fleet fleet;
    private final DirectiveSender directives;
    private final EventQueue events;
    private final RunTotals totals;
    private final RandomGenerator random;
    private final PendingTasks pendingBatch;
    private final Deque<BenchTask> pendingUrgent = new ArrayDeque<>();
    private final Map<TaskId, Long> preemptedAtMillis = new HashMap<>();
    private final Map<TaskId, Long> requiredMemoryMebibytes = new HashMap<>();
    private final double[] reservedMillisByTeam;
    private final boolean[] skippedKinds;
    private final MeanTimeBetweenStops meanTimeBetweenStops = MeanTimeBetweenStops.create();
    private final ReportHandler reportHandler;
    private long nextToken = 1;

    BenchScheduler(
            PolicySet policy,
            Example example,
            int teams,
            Fleet fleet,
            DirectiveSender directives,
            EventQueue events,
            RunTotals totals,
            RandomGenerator random) {
        this.policy = policy;
        this.fleet = fleet;
        this.directives = directives;
        this.events = events;
        this.totals = totals;
        this.random = random;
        this.reservedMillisByTeam = new double[teams];
        this.skippedKinds = new boolean[example.kinds().size()];
        this.pendingBatch =
                new PendingTasks(
                        teams, example.kinds().size(), policy.fairShare(), reservedMillisByTeam);
        for (FakeHost host : fleet.hosts()) {
            hosts.add(new HostState(hosts.size(), host.capacity(), example.kinds()));
        }
        this.reportHandler = new ReportHandler(policy, example, this, fleet, directives);
        this.cluster =
                new ClusterView() {
                    @Override
                    public int size() {
                        return hosts.size();
                    }

                    @Override
                    public HostView host(int index) {
                        return hosts.get(index).view();
                    }
                };
    }

    void submit(BenchTask task, long nowMillis) {
        if (task.urgent()) {
            // Tasks submitted at time 0 represent tasks that are already running, not new starts.
            if (nowMillis > 0) {
                policy.reserve().ifPresent(reserve -> reserve.recordStart(nowMillis));
            }
            pendingUrgent.addLast(task);
        } else {
            pendingBatch.add(task);
        }
    }

    /**
     * Sends stop directives for cancelled tasks that hold a lease, in a single pass over the
     * leases.
     */
    void stopCancelled(long nowMillis) {
        for (HostState host : hosts) {
            for (Lease lease : host.leases.values()) {
                if (lease.task.cancelled && !lease.stopping) {
                    lease.stopping = true;
                    directives.stop(host.index, lease.token, nowMillis);
                }
            }
        }
    }

    void onReport(HostReport report, long nowMillis) {
        reportHandler.handle(hosts.get(report.hostIndex()), report, nowMillis);
    }

    void tick(long nowMillis) {
        for (HostState host : hosts) {
            updateStatus(host, nowMillis);
        }
        placeUrgent(nowMillis);
        placeBatch(nowMillis);
    }

    private void updateStatus(HostState host, long nowMillis) {
        long sinceReportMillis = nowMillis - host.lastReportMillis;
        FakeInstance instance = fleet.hosts().get(host.index).instance();
        instance.setAvailable(sinceReportMillis <= SUSPECT_TIMEOUT_MILLIS);
        if (sinceReportMillis > DEAD_TIMEOUT_MILLIS) {
            if (host.status != HostStatus.DEAD) {
                host.setStatus(HostStatus.DEAD);
                expireLeases(host, nowMillis);
            }
        } else if (sinceReportMillis > SUSPECT_TIMEOUT_MILLIS) {
            host.setStatus(HostStatus.SUSPECT);
        } else {
            host.setStatus(
                    policy.health()
                            .map(health -> health.status(host.id, nowMillis))
                            .orElse(HostStatus.READY));
        }
    }

    private void expireLeases(HostState host, long nowMillis) {
        for (Lease lease : List.copyOf(host.leases.values())) {
            release(host, lease, nowMillis);
            meanTimeBetweenStops.observe(elapsedMillis(lease, nowMillis), true);
            requeue(lease.task, 0, nowMillis);
        }
    }

    void release(HostState host, Lease lease, long nowMillis) {
        if (host.remove(lease.token) != null && !lease.task.urgent()) {
            reservedMillisByTeam[lease.task.team] -= lease.reservation.processorMillis();
        }
    }

    void recordStop(Lease lease, boolean unplanned, long nowMillis) {
        if (lease.task.checkpointable()) {
            meanTimeBetweenStops.observe(elapsedMillis(lease, nowMillis), unplanned);
        }
    }

    private static long elapsedMillis(Lease lease, long nowMillis) {
        return nowMillis - lease.grantedAtMillis;
    }

    void requeue(BenchTask task, long delayMillis, long nowMillis) {
        if (task.cancelled || task.finished) {
            return;
        }
        if (delayMillis > 0) {
            events.scheduleAt(
                    nowMillis + delayMillis, () -> requeue(task, 0, nowMillis + delayMillis));
        } else if (task.urgent()) {
            pendingUrgent.addFirst(task);
        } else {
            pendingBatch.requeue(task);
        }
    }

    void onTaskFailed(HostState host, Lease lease, long nowMillis) {
        BenchTask task = lease.task;
        boolean parked =
                policy.health()
                        .map(
                                health -> {
                                    health.failed(host.id, task.job, nowMillis);
                                    return health.isParked(task.job);
                                })
                        .orElse(false);
        if (!parked) {
            requeue(task, task.urgent() ? 0 : RETRY_DELAY_MILLIS, nowMillis);
        }
    }

    void onOutOfMemory(Lease lease, long nowMillis) {
        requiredMemoryMebibytes.put(lease.task.id, 2 * lease.reservation.memoryMebibytes());
        requeue(lease.task, 0, nowMillis);
    }

    private void placeUrgent(long nowMillis) {
        int failures = 0;
        List<BenchTask> unplaced = new ArrayList<>();
        while (!pendingUrgent.isEmpty() && failures < MAXIMUM_URGENT_FAILURES_PER_STEP) {
            BenchTask task = pendingUrgent.pollFirst();
            if (!place(task, nowMillis)) {
                failures++;
                preempt(task, nowMillis);
                unplaced.add(task);
            }
        }
        for (int index = unplaced.size() - 1; index >= 0; index--) {
            pendingUrgent.addFirst(unplaced.get(index));
        }
    }

    private void placeBatch(long nowMillis) {
        Arrays.fill(skippedKinds, false);
        for (int count = 0; count < MAXIMUM_PLACEMENTS_PER_STEP; count++) {
            Optional<BenchTask> next = pendingBatch.poll(skippedKinds);
            if (next.isEmpty()) {
                return;
            }
            BenchTask task = next.get();
            if (policy.health().map(health -> health.isParked(task.job)).orElse(false)) {
                continue;
            }
            if (!place(task, nowMillis)) {
                skippedKinds[task.kind] = true;
                pendingBatch.requeue(task);
            }
        }
    }

    private boolean place(BenchTask task, long nowMillis) {
        if (task.cancelled) {
            return true;
        }
        PlacementDecision decision =
                policy.placement()
                        .place(request(task), cluster, RuleSet.empty(), nowMillis, random);
        if (decision instanceof PlacementDecision.Placed placed) {
            start(task, placed, nowMillis);
        }
        // An infeasible task is dropped from the queue.
        return !(decision instanceof PlacementDecision.Waiting);
    }

    private TaskRequest request(BenchTask task) {
        Resources reservation =
                policy.reservations().reservation(task.account, task.profile.kind(), task.declared);
        long memory =
                Math.max(
                        reservation.memoryMebibytes(),
                        requiredMemoryMebibytes.getOrDefault(task.id, 0L));
        Resources effectiveReservation =
                Resources.of(reservation.processorMillis(), memory, reservation.accelerators());
        Set<HostId> excluded =
                policy.health().map(health -> health.failedHosts(task.job)).orElse(Set.of());
        return new TaskRequest(
                task.id,
                task.job,
                task.account,
                task.profile.kind(),
                task.urgent(),
                effectiveReservation,
                Optional.empty(),
                excluded);
    }

    private void start(BenchTask task, PlacementDecision.Placed placed, long nowMillis) {
        HostState host = hosts.get(placed.index());
        Lease lease = new Lease(nextToken++, task, placed.index(), placed.reservation(), nowMillis);
        host.add(lease);
        if (!task.urgent()) {
            reservedMillisByTeam[task.team] += lease.reservation.processorMillis();
        }
        long interval =
                policy.checkpointIntervals()
                        .millis(
                                task.profile.checkpointDurationMillis(),
                                meanTimeBetweenStops.meanMillis());
        directives.start(lease, interval, nowMillis);
    }

    private void preempt(BenchTask task, long nowMillis) {
        Long previousMillis = preemptedAtMillis.get(task.id);
        if (previousMillis != null
                && nowMillis - previousMillis < MINIMUM_PREEMPTION_INTERVAL_MILLIS) {
            return;
        }
        TaskRequest request = request(task);
        HostState bestHost = null;
        Preemption.Victims best = null;
        int offset = random.nextInt(hosts.size());
        for (int step = 0; step < Math.min(MAXIMUM_PREEMPTION_HOSTS, hosts.size()); step++) {
            HostState host = hosts.get((offset + step) % hosts.size());
            if (!Feasibility.isAccepting(request, host.view())) {
                continue;
            }
            Optional<Preemption.Victims> victims =
                    Preemption.choose(
                            request.reservation(),
                            host.view().freeResources(),
                            host.evictionCandidates(nowMillis));
            if (victims.isPresent()
                    && (best == null || victims.get().atRiskMillis() < best.atRiskMillis())) {
                best = victims.get();
                bestHost = host;
            }
        }
        if (best != null) {
            preemptedAtMillis.put(task.id, nowMillis);
            evict(bestHost, Set.copyOf(best.tasks()), false, nowMillis);
        }
    }

    /** Stops tasks on a host, after a checkpoint if requested. */
    void evict(HostState host, Set<TaskId> tasks, boolean withCheckpoint, long nowMillis) {
        for (Lease lease : host.leases.values()) {
            if (!tasks.contains(lease.task.id) || lease.stopping) {
                continue;
            }
            lease.stopping = true;
            totals.evictions++;
            if (withCheckpoint) {
                directives.checkpointAndStop(host.index, lease.token, nowMillis);
            } else {
                directives.stop(host.index, lease.token, nowMillis);
            }
        }
    }

    /** Samples the deviation of the processors that teams actually hold from their fair shares. */
    void sampleQuotaError() {
        double[] heldCores = new double[reservedMillisByTeam.length];
        double[] pendingCores = new double[reservedMillisByTeam.length];
        for (HostState host : hosts) {
            for (Lease lease : host.leases.values()) {
                if (!lease.task.urgent()) {
                    heldCores[lease.task.team] += lease.task.cores;
                }
            }
        }
        for (int team = 0; team < pendingCores.length; team++) {
            pendingCores[team] = pendingBatch.pendingCores(team);
        }
        totals.quotaErrorSum += QuotaError.of(heldCores, pendingCores);
        totals.quotaSamples++;
    }

    /** Records the start delay of urgent tasks that are still pending at the end of the run. */
    void recordUnstartedTasks(long endMillis) {
        for (BenchTask task : pendingUrgent) {
            if (!task.started) {
                totals.recordUnstarted(task, endMillis);
            }
        }
    }
}
