package org.yuccabank.policy.reservation;

import java.util.HashMap;
import java.util.Map;
import org.yuccabank.model.AccountId;
import org.yuccabank.model.Resources;
import org.yuccabank.model.WorkKind;

/**
 * Reserves what tasks of the same account and kind were seen to use, plus an allowance. Not
 * thread-safe.
 *
 * <p>Usage is predicted in two ways: as a multiple of the declared size, for owners whose error is
 * consistent, and as an amount of its own, for owners who declare the same size for every task. The
 * prediction with the lesser relative spread is used. The declared size counts in full until
 * {@value #MIN_SAMPLES} tasks were seen. Accelerators always follow the declaration, because a task
 * without its accelerator cannot run.
 */
public final class UsageBasedReservation implements ReservationEstimator {

    /** Fewer observations say too little about the spread. */
    private static final int MIN_SAMPLES = 6;

    /** Processors are compressible: an overrun slows the task, so two deviations suffice. */
    private static final double PROCESSOR_DEVIATIONS = 2;

    /** A task over its memory is stopped, so more deviations are reserved. */
    private static final double MEMORY_DEVIATIONS = 4;

    /** Usage may have grown since the newest report was taken. */
    private static final double REPORT_DELAY_FACTOR = 1.05;

    /** A task that uses this share of its limit would use more if it could. */
    private static final double AT_LIMIT_SHARE = 0.97;

    private static final double AT_LIMIT_GROWTH_FACTOR = 1.5;

    private final Map<AccountKind, Statistics> statisticsByAccount = new HashMap<>();
    private final Map<WorkKind, Statistics> statisticsByKind = new HashMap<>();

    private record AccountKind(AccountId account, WorkKind kind) {}

    private UsageBasedReservation() {}

    /**
     * Creates an estimator without observations.
     *
     * @return the estimator
     */
    public static UsageBasedReservation create() {
        return new UsageBasedReservation();
    }

    @Override
    public Resources reservation(AccountId account, WorkKind kind, Resources declared) {
        Statistics statistics = statisticsByAccount.get(new AccountKind(account, kind));
        if (statistics == null || statistics.processors.count() < MIN_SAMPLES) {
            statistics = statisticsByKind.get(kind);
        }
        if (statistics == null || statistics.processors.count() < MIN_SAMPLES) {
            return declared;
        }
        double processors =
                statistics.processors.upperBound(
                        (double) declared.processorMillis(), PROCESSOR_DEVIATIONS);
        double memory =
                statistics.memory.upperBound(
                        (double) declared.memoryMebibytes(), MEMORY_DEVIATIONS);
        return Resources.of(
                (long) Math.ceil(REPORT_DELAY_FACTOR * processors),
                (long) Math.ceil(REPORT_DELAY_FACTOR * memory),
                declared.accelerators());
    }

    @Override
    public void observe(
            AccountId account,
            WorkKind kind,
            Resources peak,
            Resources reserved,
            Resources declared) {
        Resources usage = estimateDemand(peak, reserved);
        statisticsByAccount
                .computeIfAbsent(new AccountKind(account, kind), key -> new Statistics())
                .add(usage, declared);
        statisticsByKind.computeIfAbsent(kind, key -> new Statistics()).add(usage, declared);
    }

    private static Resources estimateDemand(Resources peak, Resources reserved) {
        if (peak.processorMillis() < AT_LIMIT_SHARE * reserved.processorMillis()) {
            return peak;
        }
        return Resources.of(
                (long) (AT_LIMIT_GROWTH_FACTOR * peak.processorMillis()),
                peak.memoryMebibytes(),
                peak.accelerators());
    }

    /** Usage of the tasks of one key. */
    private static final class Statistics {
        private final UsagePrediction processors = new UsagePrediction();
        private final UsagePrediction memory = new UsagePrediction();

        void add(Resources usage, Resources declared) {
            processors.add((double) usage.processorMillis(), (double) declared.processorMillis());
            memory.add((double) usage.memoryMebibytes(), (double) declared.memoryMebibytes());
        }
    }
}
