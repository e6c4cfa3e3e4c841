package org.yuccabank.policy.routing;

import java.util.HashMap;
import java.util.Map;
import java.util.function.ToIntFunction;
import org.yuccabank.model.AccountId;

/**
 * Tracks the average number of requests in progress of each account and its ratio to the account's
 * weighted fair share. It compares averages because the current number of a small account often
 * exceeds its share by chance. Idle accounts are removed after some time. Mutable; not thread-safe.
 */
final class AccountShares {

    /** Time constant of the moving average of requests in progress. */
    private static final double AVERAGING_MILLIS = 1000;

    /**
     * Interval of removing idle accounts and updating weights, which iterates over all accounts.
     */
    private static final long SWEEP_MILLIS = 1000;

    /** Average below which an account without requests in progress counts as idle. */
    private static final double IDLE_AVERAGE = 0.05;

    private final ToIntFunction<AccountId> weights;
    private final Map<AccountId, AccountEntry> accounts = new HashMap<>();
    private final MovingAverage total = new MovingAverage();
    private long totalWeight;
    private long nextSweepMillis;

    /** Requests in progress and their moving average. */
    private static final class MovingAverage {
        private int inProgress;
        private double value;
        private long updatedMillis;

        private void advance(long nowMillis) {
            double elapsedMillis = Math.max(0, nowMillis - updatedMillis);
            value += (inProgress - value) * (elapsedMillis / (elapsedMillis + AVERAGING_MILLIS));
            updatedMillis = nowMillis;
        }

        private boolean isIdle() {
            return inProgress == 0 && value < IDLE_AVERAGE;
        }

        private void adjust(int difference, long nowMillis) {
            advance(nowMillis);
            inProgress += difference;
        }
    }

    private static final class AccountEntry {
        private int weight;
        private final MovingAverage average = new MovingAverage();

        private AccountEntry(int weight, long nowMillis) {
            this.weight = weight;
            this.average.updatedMillis = nowMillis;
        }
    }

    AccountShares(ToIntFunction<AccountId> weights) {
        this.weights = weights;
    }

    void started(AccountId account, long nowMillis) {
        sweep(nowMillis);
        AccountEntry entry = accounts.get(account);
        if (entry == null) {
            entry = new AccountEntry(Math.max(1, weights.applyAsInt(account)), nowMillis);
            accounts.put(account, entry);
            totalWeight += entry.weight;
        }
        entry.average.adjust(1, nowMillis);
        total.adjust(1, nowMillis);
    }

    void finished(AccountId account, long nowMillis) {
        AccountEntry entry = accounts.get(account);
        if (entry != null) {
            entry.average.adjust(-1, nowMillis);
            total.adjust(-1, nowMillis);
        }
    }

    /**
     * Returns the ratio of requests in progress to the account's fair share, 0 for a new account.
     */
    double ratioToFairShare(AccountId account, long nowMillis) {
        AccountEntry entry = accounts.get(account);
        if (entry == null) {
            return 0;
        }
        entry.average.advance(nowMillis);
        total.advance(nowMillis);
        double share = Math.max(1, total.value * entry.weight / totalWeight);
        return entry.average.value / share;
    }

    private void sweep(long nowMillis) {
        if (nowMillis < nextSweepMillis) {
            return;
        }
        nextSweepMillis = nowMillis + SWEEP_MILLIS;
        accounts.values().forEach(entry -> entry.average.advance(nowMillis));
        accounts.values().removeIf(entry -> entry.average.isIdle());
        totalWeight = 0;
        accounts.forEach(
                (account, entry) -> {
                    entry.weight = Math.max(1, weights.applyAsInt(account));
                    totalWeight += entry.weight;
                });
    }
}
