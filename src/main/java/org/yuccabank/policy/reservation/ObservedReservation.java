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
 * <p>The declared size counts in full until {@value #ENOUGH} tasks were seen. Accelerators always
 * follow the declaration, because a task without its accelerator cannot run.
 */
public final class ObservedReservation implements ReservationEstimator {

    /** Fewer observations say too little about the spread. */
    private static final int ENOUGH = 6;

    /** Processors are compressible: an overrun slows the task, so two deviations suffice. */
    private static final double PROCESSOR_DEVIATIONS = 2;

    /** A task over its memory is stopped, so more deviations are reserved. */
    private static final double MEMORY_DEVIATIONS = 4;

    /** Usage may have grown since the newest report was taken. */
    private static final double LAG_ALLOWANCE = 1.05;

    /** A task that uses this share of its limit would use more if it could. */
    private static final double AT_LIMIT = 0.97;

    private static final double GROWTH_AT_LIMIT = 1.5;

    private final Map<Key, Statistics> byAccount = new HashMap<>();
    private final Map<WorkKind, Statistics> byKind = new HashMap<>();

    private record Key(AccountId account, WorkKind kind) {}

    private ObservedReservation() {}

    /**
     * Creates an estimator without observations.
     *
     * @return the estimator
     */
    public static ObservedReservation create() {
        return new ObservedReservation();
    }

    @Override
    public Resources reservation(AccountId account, WorkKind kind, Resources declared) {
        Statistics statistics = byAccount.get(new Key(account, kind));
        if (statistics == null || statistics.processors.count < ENOUGH) {
            statistics = byKind.get(kind);
        }
        if (statistics == null || statistics.processors.count < ENOUGH) {
            return declared;
        }
        return Resources.of(
                (long) (LAG_ALLOWANCE * statistics.processors.upperBound(PROCESSOR_DEVIATIONS)),
                (long) (LAG_ALLOWANCE * statistics.memory.upperBound(MEMORY_DEVIATIONS)),
                declared.accelerators());
    }

    @Override
    public void observe(AccountId account, WorkKind kind, Resources peak, Resources reserved) {
        Resources usage = wanted(peak, reserved);
        byAccount.computeIfAbsent(new Key(account, kind), key -> new Statistics()).add(usage);
        byKind.computeIfAbsent(kind, key -> new Statistics()).add(usage);
    }

    private static Resources wanted(Resources peak, Resources reserved) {
        if (peak.processorMillis() < AT_LIMIT * reserved.processorMillis()) {
            return peak;
        }
        return Resources.of(
                (long) (GROWTH_AT_LIMIT * peak.processorMillis()),
                peak.memoryMebibytes(),
                peak.accelerators());
    }

    /** Usage of the tasks of one key. */
    private static final class Statistics {
        private final Moments processors = new Moments();
        private final Moments memory = new Moments();

        void add(Resources usage) {
            processors.add((double) usage.processorMillis());
            memory.add((double) usage.memoryMebibytes());
        }
    }

    /** Mean and variance that follow changes: old values fade with weight 1/{@value #WINDOW}. */
    private static final class Moments {
        private static final int WINDOW = 200;

        private int count;
        private double mean;
        private double variance;

        void add(double value) {
            count++;
            double weight = 1.0 / Math.min(count, WINDOW);
            double difference = value - mean;
            mean += weight * difference;
            variance = (1 - weight) * (variance + weight * difference * difference);
        }

        double upperBound(double deviations) {
            return mean + deviations * Math.sqrt(variance);
        }
    }
}
