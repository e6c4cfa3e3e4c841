package org.yuccabank.bench;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.yuccabank.bench.FakeExecution.End;
import org.yuccabank.model.Resources;
import org.yuccabank.policy.eviction.HostPressure;
import org.yuccabank.policy.eviction.ProtectionAction;
import org.yuccabank.policy.eviction.ProtectionDecision;
import org.yuccabank.policy.placement.KindLoad;

/** Turns reports into what the scheduler knows, and protects urgent work. Not thread-safe. */
final class ReportIntake {

    /** A start that a report does not name by then never arrived. */
    private static final long LOST_DIRECTIVE_MILLIS = 1_500;

    /** A task that ran this long started well. */
    private static final long PROVEN_MILLIS = 2_000;

    private static final long WINDOW_MILLIS = 1_500;
    private static final int LEAST_REQUESTS = 10;
    private static final double MEMORY_GROWTH = 1.3;

    private final PolicySet policy;
    private final Example example;
    private final BenchScheduler scheduler;
    private final Fleet fleet;
    private final Directives directives;

    ReportIntake(
            PolicySet policy,
            Example example,
            BenchScheduler scheduler,
            Fleet fleet,
            Directives directives) {
        this.policy = policy;
        this.example = example;
        this.scheduler = scheduler;
        this.fleet = fleet;
        this.directives = directives;
    }

    void accept(HostBelief host, HostReport report, long nowMillis) {
        directives.answer(host.index, nowMillis);
        host.lastReportMillis = nowMillis;
        host.utilisation = report.utilisation();
        for (HostReport.Ended ended : report.ended()) {
            Lease lease = host.leases.get(ended.token());
            if (lease != null) {
                ended(host, lease, ended, nowMillis);
            }
        }
        running(host, report, nowMillis);
        host.changed();
        List<KindLoad> load = host.load(true);
        host.history.add(report.sentMillis(), load);
        learn(host, report, load, nowMillis);
        protect(host, report, nowMillis);
    }

    private void running(HostBelief host, HostReport report, long nowMillis) {
        Map<Long, HostReport.Running> byToken = new HashMap<>();
        report.running().forEach(running -> byToken.put(running.token(), running));
        for (Lease lease : List.copyOf(host.leases.values())) {
            HostReport.Running running = byToken.remove(lease.token);
            if (running == null) {
                if (lease.grantedMillis < report.sentMillis() - LOST_DIRECTIVE_MILLIS) {
                    scheduler.release(host, lease, nowMillis);
                    scheduler.requeue(lease.task, 0, nowMillis);
                }
                continue;
            }
            update(host, lease, running, report.sentMillis());
        }
        // Tokens that are left belong to leases that ended while the host was out of contact.
        for (long token : byToken.keySet()) {
            directives.stop(host.index, token, nowMillis);
        }
    }

    private void update(HostBelief host, Lease lease, HostReport.Running running, long sentMillis) {
        lease.atRiskMillis = (long) running.atRiskMillis();
        if (!running.started()) {
            return;
        }
        if (lease.startedMillis < 0) {
            lease.startedMillis = sentMillis;
        }
        if (running.usedCores() > 0) {
            lease.usedMillis = (long) (1000 * running.usedCores());
        }
        if (!lease.proven && sentMillis - lease.startedMillis >= PROVEN_MILLIS) {
            host.prove(lease);
            policy.health().ifPresent(health -> health.succeeded(host.id, lease.task.job));
        }
    }

    private void ended(HostBelief host, Lease lease, HostReport.Ended ended, long nowMillis) {
        scheduler.release(host, lease, nowMillis);
        boolean unplanned = ended.end() == End.FAILED || ended.end() == End.STOPPED;
        scheduler.observeStop(lease, unplanned, nowMillis);
        BenchTask task = lease.task;
        switch (ended.end()) {
            case FINISHED -> {
                policy.health().ifPresent(health -> health.succeeded(host.id, task.job));
                observe(lease, ended.peak());
            }
            case FAILED -> scheduler.failed(host, lease, nowMillis);
            case OUT_OF_MEMORY -> {
                Resources peak = ended.peak();
                observe(
                        lease,
                        Resources.of(
                                peak.processorMillis(),
                                (long) (MEMORY_GROWTH * peak.memoryMebibytes()),
                                peak.accelerators()));
                scheduler.outOfMemory(lease, nowMillis);
            }
            case STOPPED -> scheduler.requeue(task, 0, nowMillis);
            default -> throw new IllegalStateException("unknown end " + ended.end());
        }
    }

    private void observe(Lease lease, Resources peak) {
        BenchTask task = lease.task;
        policy.reservations()
                .observe(task.account, task.profile.kind(), peak, lease.reservation, task.declared);
    }

    private void learn(HostBelief host, HostReport report, List<KindLoad> present, long nowMillis) {
        if (policy.learning().isEmpty() || report.requests() < LEAST_REQUESTS) {
            return;
        }
        Optional<List<KindLoad>> together =
                policy.matching()
                        ? host.history.at(report.measuredAtMillis(), WINDOW_MILLIS)
                        : Optional.of(present);
        together.ifPresent(
                load ->
                        policy.learning()
                                .get()
                                .observe(
                                        example.kinds().get(Example.SERVICE).kind(),
                                        load,
                                        host.capacity.processorMillis(),
                                        report.slowdown(),
                                        nowMillis));
    }

    private void protect(HostBelief host, HostReport report, long nowMillis) {
        boolean truth = policy.seesTruth();
        HostPressure pressure =
                new HostPressure(
                        example.kinds().get(Example.SERVICE).kind(),
                        truth ? fleet.hosts().get(host.index).trueSlowdown() : report.slowdown(),
                        truth ? nowMillis : report.measuredAtMillis(),
                        host.view().kinds(),
                        host.capacity.processorMillis(),
                        host.candidates(nowMillis));
        ProtectionDecision decision =
                policy.protection().decide(host.protection, pressure, nowMillis);
        host.protection = decision.state();
        for (ProtectionAction action : decision.actions()) {
            apply(host, action, nowMillis);
        }
    }

    private void apply(HostBelief host, ProtectionAction action, long nowMillis) {
        if (action instanceof ProtectionAction.Throttle) {
            throttle(host, action, true, nowMillis);
        } else if (action instanceof ProtectionAction.Release) {
            throttle(host, action, false, nowMillis);
        } else {
            boolean checkpoint = action instanceof ProtectionAction.Move;
            scheduler.evict(host, Set.of(action.task()), checkpoint, nowMillis);
        }
    }

    private void throttle(
            HostBelief host, ProtectionAction action, boolean throttled, long nowMillis) {
        for (Lease lease : host.leases.values()) {
            if (lease.task.id.equals(action.task())) {
                lease.throttled = throttled;
                directives.throttle(host.index, lease.token, throttled, nowMillis);
            }
        }
    }
}
