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
 * Applies the decisions of a policy in discrete time, as the control role does: it knows only what
 * was submitted and what reports told. Not thread-safe.
 */
final class BenchScheduler {

    /** No report for this long: no new work. */
    private static final long SUSPECT_MILLIS = 3_000;

    /** Lease duration plus drift margin: the host's tasks have certainly stopped. */
    private static final long DEAD_MILLIS = FakeHost.LEASE_MILLIS + 2_000;

    private static final long RETRY_MILLIS = 1_000;
    private static final int PLACEMENTS_PER_STEP = 600;
    private static final int URGENT_FAILURES_PER_STEP = 10;
    private static final int PREEMPTION_HOSTS = 24;
    private static final long PREEMPTION_PAUSE_MILLIS = 2_500;

    private final PolicySet policy;
    private final List<HostBelief> hosts = new ArrayList<>();
    private final ClusterView cluster;
    private final Fleet fleet;
    private final Directives directives;
    private final EventQueue events;
    private final RunTotals totals;
    private final RandomGenerator random;
    private final PendingTasks batch;
    private final Deque<BenchTask> urgent = new ArrayDeque<>();
    private final Map<TaskId, Long> preemptedAt = new HashMap<>();
    private final Map<TaskId, Long> memoryNeeded = new HashMap<>();
    private final double[] heldByTeam;
    private final boolean[] skipped;
    private final MeanTimeBetweenStops meanTimeBetweenStops = MeanTimeBetweenStops.create();
    private final ReportIntake intake;
    private long nextToken = 1;

    BenchScheduler(
            PolicySet policy,
            Example example,
            int teams,
            Fleet fleet,
            Directives directives,
            EventQueue events,
            RunTotals totals,
            RandomGenerator random) {
        this.policy = policy;
        this.fleet = fleet;
        this.directives = directives;
        this.events = events;
        this.totals = totals;
        this.random = random;
        this.heldByTeam = new double[teams];
        this.skipped = new boolean[example.kinds().size()];
        this.batch = new PendingTasks(teams, example.kinds().size(), policy.fair(), heldByTeam);
        for (FakeHost host : fleet.hosts()) {
            hosts.add(new HostBelief(hosts.size(), host.capacity(), example.kinds()));
        }
        this.intake = new ReportIntake(policy, example, this, fleet, directives);
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
            // The tasks of the first step stand for those that ran before the run began.
            if (nowMillis > 0) {
                policy.reserve().ifPresent(reserve -> reserve.recordStart(nowMillis));
            }
            urgent.addLast(task);
        } else {
            batch.add(task);
        }
    }

    /** Sends stops for cancelled tasks that hold a lease, in one pass over the leases. */
    void stopCancelled(long nowMillis) {
        for (HostBelief host : hosts) {
            for (Lease lease : host.leases.values()) {
                if (lease.task.cancelled && !lease.stopping) {
                    lease.stopping = true;
                    directives.stop(host.index, lease.token, nowMillis);
                }
            }
        }
    }

    void onReport(HostReport report, long nowMillis) {
        intake.accept(hosts.get(report.host()), report, nowMillis);
    }

    void tick(long nowMillis) {
        for (HostBelief host : hosts) {
            updateStatus(host, nowMillis);
        }
        placeUrgent(nowMillis);
        placeBatch(nowMillis);
    }

    private void updateStatus(HostBelief host, long nowMillis) {
        long silence = nowMillis - host.lastReportMillis;
        FakeInstance instance = fleet.hosts().get(host.index).instance();
        instance.setAvailable(silence <= SUSPECT_MILLIS);
        if (silence > DEAD_MILLIS) {
            if (host.status != HostStatus.DEAD) {
                host.setStatus(HostStatus.DEAD);
                loseLeases(host, nowMillis);
            }
        } else if (silence > SUSPECT_MILLIS) {
            host.setStatus(HostStatus.SUSPECT);
        } else {
            host.setStatus(
                    policy.health()
                            .map(health -> health.status(host.id, nowMillis))
                            .orElse(HostStatus.READY));
        }
    }

    private void loseLeases(HostBelief host, long nowMillis) {
        for (Lease lease : List.copyOf(host.leases.values())) {
            release(host, lease, nowMillis);
            meanTimeBetweenStops.observe(ranMillis(lease, nowMillis), true);
            requeue(lease.task, 0, nowMillis);
        }
    }

    void release(HostBelief host, Lease lease, long nowMillis) {
        if (host.remove(lease.token) != null && !lease.task.urgent()) {
            heldByTeam[lease.task.team] -= lease.reservation.processorMillis();
        }
    }

    void observeStop(Lease lease, boolean unplanned, long nowMillis) {
        if (lease.task.checkpointable()) {
            meanTimeBetweenStops.observe(ranMillis(lease, nowMillis), unplanned);
        }
    }

    private static long ranMillis(Lease lease, long nowMillis) {
        return nowMillis - lease.grantedMillis;
    }

    void requeue(BenchTask task, long delayMillis, long nowMillis) {
        if (task.cancelled || task.finished) {
            return;
        }
        if (delayMillis > 0) {
            events.at(nowMillis + delayMillis, () -> requeue(task, 0, nowMillis + delayMillis));
        } else if (task.urgent()) {
            urgent.addFirst(task);
        } else {
            batch.putBack(task);
        }
    }

    void failed(HostBelief host, Lease lease, long nowMillis) {
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
            requeue(task, task.urgent() ? 0 : RETRY_MILLIS, nowMillis);
        }
    }

    void outOfMemory(Lease lease, long nowMillis) {
        memoryNeeded.put(lease.task.id, 2 * lease.reservation.memoryMebibytes());
        requeue(lease.task, 0, nowMillis);
    }

    private void placeUrgent(long nowMillis) {
        int failures = 0;
        List<BenchTask> waiting = new ArrayList<>();
        while (!urgent.isEmpty() && failures < URGENT_FAILURES_PER_STEP) {
            BenchTask task = urgent.pollFirst();
            if (!place(task, nowMillis)) {
                failures++;
                preempt(task, nowMillis);
                waiting.add(task);
            }
        }
        for (int index = waiting.size() - 1; index >= 0; index--) {
            urgent.addFirst(waiting.get(index));
        }
    }

    private void placeBatch(long nowMillis) {
        Arrays.fill(skipped, false);
        for (int count = 0; count < PLACEMENTS_PER_STEP; count++) {
            Optional<BenchTask> next = batch.take(skipped);
            if (next.isEmpty()) {
                return;
            }
            BenchTask task = next.get();
            if (policy.health().map(health -> health.isParked(task.job)).orElse(false)) {
                continue;
            }
            if (!place(task, nowMillis)) {
                skipped[task.kind] = true;
                batch.putBack(task);
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
        // A task that can never run is refused and leaves the queue.
        return !(decision instanceof PlacementDecision.Waiting);
    }

    private TaskRequest request(BenchTask task) {
        Resources reservation =
                policy.reservations().reservation(task.account, task.profile.kind(), task.declared);
        long memory =
                Math.max(reservation.memoryMebibytes(), memoryNeeded.getOrDefault(task.id, 0L));
        Resources needed =
                Resources.of(reservation.processorMillis(), memory, reservation.accelerators());
        Set<HostId> excluded =
                policy.health().map(health -> health.failedHosts(task.job)).orElse(Set.of());
        return new TaskRequest(
                task.id,
                task.job,
                task.account,
                task.profile.kind(),
                task.urgent(),
                needed,
                Optional.empty(),
                excluded);
    }

    private void start(BenchTask task, PlacementDecision.Placed placed, long nowMillis) {
        HostBelief host = hosts.get(placed.index());
        Lease lease = new Lease(nextToken++, task, placed.index(), placed.reservation(), nowMillis);
        host.add(lease);
        if (!task.urgent()) {
            heldByTeam[task.team] += lease.reservation.processorMillis();
        }
        long interval =
                policy.checkpoints()
                        .millis(task.profile.checkpointMillis(), meanTimeBetweenStops.meanMillis());
        directives.start(lease, interval, nowMillis);
    }

    private void preempt(BenchTask task, long nowMillis) {
        Long before = preemptedAt.get(task.id);
        if (before != null && nowMillis - before < PREEMPTION_PAUSE_MILLIS) {
            return;
        }
        TaskRequest request = request(task);
        HostBelief chosen = null;
        Preemption.Victims best = null;
        int offset = random.nextInt(hosts.size());
        for (int step = 0; step < Math.min(PREEMPTION_HOSTS, hosts.size()); step++) {
            HostBelief host = hosts.get((offset + step) % hosts.size());
            if (!Feasibility.isAccepting(request, host.view())) {
                continue;
            }
            Optional<Preemption.Victims> victims =
                    Preemption.choose(
                            request.reservation(),
                            host.view().freeResources(),
                            host.candidates(nowMillis));
            if (victims.isPresent()
                    && (best == null || victims.get().atRiskMillis() < best.atRiskMillis())) {
                best = victims.get();
                chosen = host;
            }
        }
        if (best != null) {
            preemptedAt.put(task.id, nowMillis);
            evict(chosen, Set.copyOf(best.tasks()), false, nowMillis);
        }
    }

    /** Stops tasks of a host, after a checkpoint if asked for. */
    void evict(HostBelief host, Set<TaskId> tasks, boolean checkpoint, long nowMillis) {
        for (Lease lease : host.leases.values()) {
            if (!tasks.contains(lease.task.id) || lease.stopping) {
                continue;
            }
            lease.stopping = true;
            totals.evictions++;
            if (checkpoint) {
                directives.checkpointAndStop(host.index, lease.token, nowMillis);
            } else {
                directives.stop(host.index, lease.token, nowMillis);
            }
        }
    }

    /** Compares what teams truly hold with their fair shares. */
    void measureQuota() {
        double[] held = new double[heldByTeam.length];
        double[] waiting = new double[heldByTeam.length];
        for (HostBelief host : hosts) {
            for (Lease lease : host.leases.values()) {
                if (!lease.task.urgent()) {
                    held[lease.task.team] += lease.task.cores;
                }
            }
        }
        for (int team = 0; team < waiting.length; team++) {
            waiting[team] = batch.waiting(team);
        }
        totals.quotaErrors += QuotaMeter.error(held, waiting);
        totals.quotaSamples++;
    }

    /** Urgent tasks that wait when the run ends. */
    void finish(long endMillis) {
        for (BenchTask task : urgent) {
            if (!task.started) {
                totals.neverStarted(task, endMillis);
            }
        }
    }
}
