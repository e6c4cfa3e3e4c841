package org.yuccabank.bench;

import java.util.List;
import java.util.Objects;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;
import org.yuccabank.result.Result;
import org.yuccabank.result.SourcePosition;

/**
 * Run of the policy benchmark: a seeded workload on simulated hosts, scheduled by the policy code
 * in steps of {@value #STEP_MILLIS} ms. Deterministic: equal options give equal results.
 */
public final class BenchRun {

    private static final long STEP_MILLIS = 100;
    private static final long REPORT_INTERVAL_MILLIS = 1_000;
    private static final int MINIMUM_REPORT_DELAY_MILLIS = 30;
    private static final int REPORT_DELAY_JITTER_MILLIS = 60;

    /** Minimum age of the slot utilisation and slowdown in a report. */
    private static final long MEASUREMENT_LAG_MILLIS = 2_000;

    /** Batch work counts as finishable if this multiple of its run time plus the margin remains. */
    private static final double FINISHABLE_FACTOR = 2;

    private static final long FINISHABLE_MARGIN_MILLIS = 20_000;

    private final BenchOptions options;
    private final Load load;
    private final long durationMillis;
    private final RunTotals totals = new RunTotals();
    private final EventQueue events = new EventQueue();
    private final Fleet fleet;
    private final WorkloadGenerator workload;
    private final BenchScheduler scheduler;
    private final RandomGenerator networkRandom;

    private BenchRun(BenchOptions options, Example example, Load load, PolicySet policy) {
        this.options = options;
        this.load = load;
        this.durationMillis = 1000L * options.durationSeconds();
        this.networkRandom = randomStream(1);
        this.fleet =
                new Fleet(
                        example,
                        options.workers(),
                        policy.router(),
                        totals,
                        randomStream(2),
                        randomStream(3));
        this.workload = new WorkloadGenerator(example, load, options.workers(), randomStream(4));
        this.scheduler =
                new BenchScheduler(
                        policy,
                        example,
                        workload.teams(),
                        fleet,
                        new DirectiveSender(fleet.hosts(), events, networkRandom),
                        events,
                        totals,
                        randomStream(5));
        new FaultInjector(fleet, events, randomStream(6), durationMillis)
                .schedule(load, workload, scheduler);
    }

    /**
     * Creates an independent random stream for one component, so that the draws of one component do
     * not affect the others.
     */
    private RandomGenerator randomStream(int stream) {
        return RandomGeneratorFactory.of("L64X128MixRandom")
                .create(options.seed() * 1_000_003 + stream);
    }

    /**
     * Runs the benchmark.
     *
     * @param options options of the run
     * @return the results, or findings for unknown names
     */
    public static Result<BenchResult> run(BenchOptions options) {
        Objects.requireNonNull(options, "options is null");
        var example = Example.named(options.example());
        if (example.isEmpty()) {
            return unknownName("example", options.example());
        }
        var load = Load.named(options.load());
        if (load.isEmpty()) {
            return unknownName("load", options.load());
        }
        var policy = PolicyCatalogue.create(options.policy(), example.get());
        if (policy.isEmpty()) {
            return unknownName("policy", options.policy());
        }
        return Result.success(new BenchRun(options, example.get(), load.get(), policy.get()).run());
    }

    /**
     * Returns the names of the loads.
     *
     * @return the names
     */
    public static List<String> loads() {
        return List.of(Load.values()).stream().map(Load::label).toList();
    }

    /**
     * Returns the names of the policies.
     *
     * @return the names
     */
    public static List<String> policies() {
        return PolicyCatalogue.names();
    }

    private static Result<BenchResult> unknownName(String option, String value) {
        return Result.failure(
                SourcePosition.ofSource("--" + option),
                "unknown " + option + " " + value + "; see --list");
    }

    private BenchResult run() {
        workload.initialTasks().forEach(task -> scheduler.submit(task, 0));
        for (long now = 0; now < durationMillis; now += STEP_MILLIS) {
            step(now);
        }
        scheduler.recordUnstartedTasks(durationMillis);
        return result();
    }

    private void step(long now) {
        double elapsedFraction = (double) now / durationMillis;
        events.runUntil(now);
        fleet.tick(now, STEP_MILLIS, load, elapsedFraction);
        sendReports(now);
        workload.arrivingTasks(now, STEP_MILLIS, elapsedFraction)
                .forEach(task -> scheduler.submit(task, now));
        scheduler.tick(now);
        if (now % REPORT_INTERVAL_MILLIS == 0 && now >= RunTotals.WARM_UP_MILLIS) {
            scheduler.sampleQuotaError();
        }
    }

    private void sendReports(long now) {
        List<FakeHost> hosts = fleet.hosts();
        for (int index = 0; index < hosts.size(); index++) {
            FakeHost host = hosts.get(index);
            boolean due = (now + index % 10 * STEP_MILLIS) % REPORT_INTERVAL_MILLIS == 0;
            if (due && host.isReachable()) {
                HostReport report =
                        host.takeReport(now, MEASUREMENT_LAG_MILLIS, Fleet.MEAN_SERVICE_MILLIS);
                long arrivalMillis =
                        now
                                + MINIMUM_REPORT_DELAY_MILLIS
                                + networkRandom.nextInt(REPORT_DELAY_JITTER_MILLIS);
                events.scheduleAt(arrivalMillis, () -> scheduler.onReport(report, arrivalMillis));
            }
        }
    }

    private BenchResult result() {
        return new BenchResult(
                options.policy(),
                options.load(),
                options.workers(),
                options.seed(),
                BenchResult.Percentiles.of(totals.latencyMicros, 1000),
                BenchResult.rounded(
                        (double) totals.lateRequests
                                / Math.max(1, totals.latencyMicros.getTotalCount())),
                BenchResult.rounded(finishedBatchShare()),
                totals.evictions,
                BenchResult.rounded(totals.lostWorkMillis / 1000),
                totals.capacityBreaches,
                totals.doubleRuns,
                BenchResult.Percentiles.of(totals.startDelayMillis, 1),
                BenchResult.rounded(totals.quotaErrorSum / Math.max(1, totals.quotaSamples)),
                BenchResult.rounded(totals.usedCoresSum / totals.capacityCoresSum));
    }

    private double finishedBatchShare() {
        double finishableMillis = 0;
        double finishedMillis = 0;
        for (BenchTask task : workload.submittedTasks()) {
            double latestEndMillis =
                    task.submittedMillis
                            + FINISHABLE_FACTOR * task.workMillis
                            + FINISHABLE_MARGIN_MILLIS;
            if (task.urgent()
                    || task.cancelled
                    || task.alwaysFails
                    || latestEndMillis > durationMillis) {
                continue;
            }
            finishableMillis += task.workMillis;
            finishedMillis += task.finished ? task.workMillis : 0;
        }
        return finishableMillis == 0 ? 1 : finishedMillis / finishableMillis;
    }
}
