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
 * {@value #ENOUGH} tasks were seen. Accelerators always follow the declaration, because a task
 * without its accelerator cannot run.
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
        if (statistics == null || statistics.processors.count() < ENOUGH) {
            statistics = byKind.get(kind);
        }
        if (statistics == null || statistics.processors.count() < ENOUGH) {
            return declared;
        }
        double processors =
                statistics.processors.upperBound(
                        (double) declared.processorMillis(), PROCESSOR_DEVIATIONS);
        double memory =
                statistics.memory.upperBound(
                        (double) declared.memoryMebibytes(), MEMORY_DEVIATIONS);
        return Resources.of(
                (long) Math.ceil(LAG_ALLOWANCE * processors),
                (long) Math.ceil(LAG_ALLOWANCE * memory),
                declared.accelerators());
    }

    @Override
    public void observe(
            AccountId account,
            WorkKind kind,
            Resources peak,
            Resources reserved,
            Resources declared) {
        Resources usage = wanted(peak, reserved);
        byAccount
                .computeIfAbsent(new Key(account, kind), key -> new Statistics())
                .add(usage, declared);
        byKind.computeIfAbsent(kind, key -> new Statistics()).add(usage, declared);
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
        private final UsagePrediction processors = new UsagePrediction();
        private final UsagePrediction memory = new UsagePrediction();

        void add(Resources usage, Resources declared) {
            processors.add((double) usage.processorMillis(), (double) declared.processorMillis());
            memory.add((double) usage.memoryMebibytes(), (double) declared.memoryMebibytes());
        }
    }
}
