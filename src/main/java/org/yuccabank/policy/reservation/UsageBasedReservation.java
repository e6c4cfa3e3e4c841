package org.yuccabank.policy.reservation;

import java.util.HashMap;
import java.util.Map;
import org.yuccabank.model.AccountId;
import org.yuccabank.model.Resources;
import org.yuccabank.model.WorkKind;

/**
 * Reserves resources based on the observed usage of tasks of the same account and kind, plus a
 * safety margin. Not thread-safe.
 *
 * <p>Usage is predicted both as a multiple of the declared size, for owners with a consistent
 * error, and as an absolute amount, for owners who declare the same size for every task. The
 * prediction with the lower coefficient of variation is used. The declared size is reserved until
 * {@value #MINIMUM_SAMPLES} tasks of the account or of the kind have been observed. Accelerators
 * always follow the declaration, because a task cannot run without them.
 */
public final class UsageBasedReservation implements ReservationEstimator {

    /** Fewer samples do not give a reliable variance. */
    private static final int MINIMUM_SAMPLES = 6;

    /**
     * Processors are compressible: an overrun only slows the task, so 2 standard deviations
     * suffice.
     */
    private static final double PROCESSOR_DEVIATIONS = 2;

    /** A task that exceeds its memory is stopped, so the margin is larger than for processors. */
    private static final double MEMORY_DEVIATIONS = 4;

    /** Allows for growth of the usage since the latest report. */
    private static final double REPORT_DELAY_FACTOR = 1.05;

    /** Share of its processor limit from which a task is assumed to need more. */
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
        if (statistics == null || statistics.processors.count() < MINIMUM_SAMPLES) {
            statistics = statisticsByKind.get(kind);
        }
        if (statistics == null || statistics.processors.count() < MINIMUM_SAMPLES) {
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

    /** Usage statistics of tasks with the same account and kind, or the same kind. */
    private static final class Statistics {
        private final UsagePrediction processors = new UsagePrediction();
        private final UsagePrediction memory = new UsagePrediction();

        void add(Resources usage, Resources declared) {
            processors.add((double) usage.processorMillis(), (double) declared.processorMillis());
            memory.add((double) usage.memoryMebibytes(), (double) declared.memoryMebibytes());
        }
    }
}
