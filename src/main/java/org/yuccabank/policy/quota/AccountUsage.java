package org.yuccabank.policy.quota;

import java.util.Comparator;
import java.util.SortedSet;
import java.util.TreeSet;
import org.yuccabank.model.AccountId;
import org.yuccabank.model.Resources;
import org.yuccabank.rules.Quota;

/** Waiting tasks and allocated resources of one account. Mutable; not thread-safe. */
final class AccountUsage {

    /** Orders by weighted share, lowest first; the identifier makes the order total. */
    static final Comparator<AccountUsage> ORDER =
            Comparator.comparingDouble(AccountUsage::weightedShare)
                    .thenComparing(AccountUsage::account);

    private final AccountId account;
    private final SortedSet<QueuedTask> waiting = new TreeSet<>(QueuedTask.ORDER);
    private Quota quota;
    private Resources allocated = Resources.none();
    private double dominantShare;
    private boolean skipped;

    AccountUsage(AccountId account, Quota quota) {
        this.account = account;
        this.quota = quota;
    }

    AccountId account() {
        return account;
    }

    SortedSet<QueuedTask> waiting() {
        return waiting;
    }

    Quota quota() {
        return quota;
    }

    void quota(Quota newQuota) {
        quota = newQuota;
    }

    Resources allocated() {
        return allocated;
    }

    /**
     * Replaces the allocated resources. Must not be called while this account is in an ordered set,
     * because it changes the order.
     */
    void allocated(Resources newAllocated, Resources capacity) {
        allocated = newAllocated;
        dominantShare = newAllocated.dominantShare(capacity);
    }

    double dominantShare() {
        return dominantShare;
    }

    double weightedShare() {
        return dominantShare / quota.weight();
    }

    boolean isSkipped() {
        return skipped;
    }

    void skipped(boolean newSkipped) {
        skipped = newSkipped;
    }

    boolean isIdle() {
        return waiting.isEmpty() && allocated.equals(Resources.none());
    }

    /** Returns whether the first waiting task may be placed next. */
    boolean isEligible() {
        return !skipped
                && !waiting.isEmpty()
                && allocated.plus(waiting.first().request()).fitsWithin(quota.limit());
    }
}
