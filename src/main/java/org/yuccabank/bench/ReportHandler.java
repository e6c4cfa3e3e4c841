package org.yuccabank.bench;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.yuccabank.bench.FakeExecution.EndReason;
import org.yuccabank.model.Resources;
import org.yuccabank.policy.eviction.HostPressure;
import org.yuccabank.policy.eviction.ProtectionAction;
import org.yuccabank.policy.eviction.ProtectionDecision;
import org.yuccabank.policy.placement.KindLoad;

/**
 * Updates the state of the scheduler from reports and applies the protection of urgent work. Not
 * thread-safe.
 */
final class ReportHandler {

    /**
     * A start directive is considered lost if a report sent after this time does not list the task.
     */
    private static final long START_REPORT_TIMEOUT_MILLIS = 1_500;

    /** Run time after which a start counts as successful. */
    private static final long START_CONFIRMATION_MILLIS = 2_000;

    private static final long MEASUREMENT_WINDOW_MILLIS = 1_500;
    private static final int MINIMUM_MEASURED_REQUESTS = 10;
    private static final double OUT_OF_MEMORY_GROWTH_FACTOR = 1.3;

    private final PolicySet policy;
    private final Example example;
    private final BenchScheduler scheduler;
    private final Fleet fleet;
    private final DirectiveSender directives;

    ReportHandler(
            PolicySet policy,
            Example example,
            BenchScheduler scheduler,
            Fleet fleet,
            DirectiveSender directives) {
        this.policy = policy;
        this.example = example;
        this.scheduler = scheduler;
        this.fleet = fleet;
        this.directives = directives;
    }

    void handle(HostState host, HostReport report, long nowMillis) {
        directives.renewLeases(host.index, nowMillis);
        host.lastReportMillis = nowMillis;
        host.slotUtilisation = report.slotUtilisation();
        for (HostReport.EndedTask ended : report.ended()) {
            Lease lease = host.leases.get(ended.token());
            if (lease != null) {
                onTaskEnded(host, lease, ended, nowMillis);
            }
        }
        reconcileLeases(host, report, nowMillis);
        host.invalidateView();
        List<KindLoad> load = host.loadByKind(true);
        host.history.add(report.sentAtMillis(), load);
        trainInterferenceModel(host, report, load, nowMillis);
        protectUrgentWork(host, report, nowMillis);
    }

    private void reconcileLeases(HostState host, HostReport report, long nowMillis) {
        Map<Long, HostReport.RunningTask> byToken = new HashMap<>();
        report.running().forEach(running -> byToken.put(running.token(), running));
        for (Lease lease : List.copyOf(host.leases.values())) {
            HostReport.RunningTask running = byToken.remove(lease.token);
            if (running == null) {
                if (lease.grantedAtMillis < report.sentAtMillis() - START_REPORT_TIMEOUT_MILLIS) {
                    scheduler.release(host, lease, nowMillis);
                    scheduler.requeue(lease.task, 0, nowMillis);
                }
                continue;
            }
            updateLease(host, lease, running, report.sentAtMillis());
        }
        // The remaining tokens belong to leases that ended while the host was unreachable.
        for (long token : byToken.keySet()) {
            directives.stop(host.index, token, nowMillis);
        }
    }

    private void updateLease(
            HostState host, Lease lease, HostReport.RunningTask running, long sentMillis) {
        lease.atRiskMillis = (long) running.atRiskMillis();
        if (!running.started()) {
            return;
        }
        if (lease.startedAtMillis < 0) {
            lease.startedAtMillis = sentMillis;
        }
        if (running.usedCores() > 0) {
            lease.usedProcessorMillis = (long) (1000 * running.usedCores());
        }
        if (!lease.startConfirmed
                && sentMillis - lease.startedAtMillis >= START_CONFIRMATION_MILLIS) {
            host.confirmStart(lease);
            policy.health().ifPresent(health -> health.succeeded(host.id, lease.task.job));
        }
    }

    private void onTaskEnded(
            HostState host, Lease lease, HostReport.EndedTask ended, long nowMillis) {
        scheduler.release(host, lease, nowMillis);
        boolean unplanned =
                ended.reason() == EndReason.FAILED || ended.reason() == EndReason.STOPPED;
        scheduler.recordStop(lease, unplanned, nowMillis);
        BenchTask task = lease.task;
        switch (ended.reason()) {
            case FINISHED -> {
                policy.health().ifPresent(health -> health.succeeded(host.id, task.job));
                observeUsage(lease, ended.peak());
            }
            case FAILED -> scheduler.onTaskFailed(host, lease, nowMillis);
            case OUT_OF_MEMORY -> {
                Resources peak = ended.peak();
                observeUsage(
                        lease,
                        Resources.of(
                                peak.processorMillis(),
                                (long) (OUT_OF_MEMORY_GROWTH_FACTOR * peak.memoryMebibytes()),
                                peak.accelerators()));
                scheduler.onOutOfMemory(lease, nowMillis);
            }
            case STOPPED -> scheduler.requeue(task, 0, nowMillis);
            default -> throw new IllegalStateException("unknown end reason " + ended.reason());
        }
    }

    private void observeUsage(Lease lease, Resources peak) {
        BenchTask task = lease.task;
        policy.reservations()
                .observe(task.account, task.profile.kind(), peak, lease.reservation, task.declared);
    }

    private void trainInterferenceModel(
            HostState host, HostReport report, List<KindLoad> currentLoad, long nowMillis) {
        if (policy.interferenceModel().isEmpty() || report.requests() < MINIMUM_MEASURED_REQUESTS) {
            return;
        }
        Optional<List<KindLoad>> measuredLoad =
                policy.usesLoadHistory()
                        ? host.history.at(report.measuredAtMillis(), MEASUREMENT_WINDOW_MILLIS)
                        : Optional.of(currentLoad);
        measuredLoad.ifPresent(
                load ->
                        policy.interferenceModel()
                                .get()
                                .observe(
                                        example.kinds().get(Example.SERVICE_KIND).kind(),
                                        load,
                                        host.capacity.processorMillis(),
                                        report.slowdown(),
                                        nowMillis));
    }

    private void protectUrgentWork(HostState host, HostReport report, long nowMillis) {
        boolean usesTrueSlowdown = policy.usesTrueSlowdown();
        HostPressure pressure =
                new HostPressure(
                        example.kinds().get(Example.SERVICE_KIND).kind(),
                        usesTrueSlowdown
                                ? fleet.hosts().get(host.index).trueSlowdown()
                                : report.slowdown(),
                        usesTrueSlowdown ? nowMillis : report.measuredAtMillis(),
                        host.view().kinds(),
                        host.capacity.processorMillis(),
                        host.evictionCandidates(nowMillis));
        ProtectionDecision decision =
                policy.protection().decide(host.protection, pressure, nowMillis);
        host.protection = decision.state();
        for (ProtectionAction action : decision.actions()) {
            apply(host, action, nowMillis);
        }
    }

    private void apply(HostState host, ProtectionAction action, long nowMillis) {
        if (action instanceof ProtectionAction.Throttle) {
            setThrottled(host, action, true, nowMillis);
        } else if (action instanceof ProtectionAction.Release) {
            setThrottled(host, action, false, nowMillis);
        } else {
            boolean withCheckpoint = action instanceof ProtectionAction.Move;
            scheduler.evict(host, Set.of(action.task()), withCheckpoint, nowMillis);
        }
    }

    private void setThrottled(
            HostState host, ProtectionAction action, boolean throttled, long nowMillis) {
        for (Lease lease : host.leases.values()) {
            if (lease.task.id.equals(action.task())) {
                lease.throttled = throttled;
                directives.throttle(host.index, lease.token, throttled, nowMillis);
            }
        }
    }
}
