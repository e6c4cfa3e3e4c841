package org.yuccabank.policy.routing;

import java.util.HashMap;
import java.util.Map;
import java.util.function.ToIntFunction;
import org.yuccabank.model.AccountId;

/**
 * Requests in progress of each account and its weighted share of all. Only accounts with requests
 * in progress are kept. Mutable; not thread-safe.
 */
final class AccountShares {

    private final ToIntFunction<AccountId> weights;
    private final Map<AccountId, Active> active = new HashMap<>();
    private long totalInProgress;
    private long totalWeight;

    private static final class Active {
        private final int weight;
        private int inProgress;

        private Active(int weight) {
            this.weight = weight;
        }
    }

    AccountShares(ToIntFunction<AccountId> weights) {
        this.weights = weights;
    }

    void started(AccountId account) {
        Active entry = active.get(account);
        if (entry == null) {
            entry = new Active(Math.max(1, weights.applyAsInt(account)));
            active.put(account, entry);
            totalWeight += entry.weight;
        }
        entry.inProgress++;
        totalInProgress++;
    }

    void finished(AccountId account) {
        Active entry = active.get(account);
        if (entry == null) {
            return;
        }
        entry.inProgress--;
        totalInProgress--;
        if (entry.inProgress == 0) {
            active.remove(account);
            totalWeight -= entry.weight;
        }
    }

    /** Tells whether one more request would exceed the account's share of those in progress. */
    boolean isOverShare(AccountId account) {
        Active entry = active.get(account);
        if (entry == null) {
            return false;
        }
        double share = (double) totalInProgress * entry.weight / totalWeight;
        return entry.inProgress + 1 > Math.max(1, share);
    }
}
