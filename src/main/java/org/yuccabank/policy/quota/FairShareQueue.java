package org.yuccabank.policy.quota;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.TreeSet;
import org.yuccabank.model.AccountId;
import org.yuccabank.model.Resources;
import org.yuccabank.model.TaskId;
import org.yuccabank.rules.Quota;

/**
 * Queue of the waiting tasks of all accounts, ordered by weighted dominant resource fairness (DRF):
 * the next task is the first one of the account with the lowest dominant share divided by its
 * weight.
 *
 * <p>Unused shares are lent: an account may hold more than its fair share, up to the limit of its
 * quota, and {@link BoundedPreemption} reclaims borrowed resources. No account exceeds its limit by
 * starting a task returned by {@link #next}.
 *
 * <p>The caller gets a task with {@link #next}. If it places the task, it calls {@link #start};
 * otherwise it calls {@link #skip}, so that other accounts are considered in this round. Calls take
 * logarithmic time in the number of tasks and accounts unless stated otherwise. Mutable; confined
 * to one thread.
 */
public final class FairShareQueue {

    /** Weight of an account without a quota rule; its resources are not limited. */
    public static final int DEFAULT_WEIGHT = 1;

    private static final Quota UNLIMITED =
            new Quota(
                    Resources.of(Long.MAX_VALUE, Long.MAX_VALUE, Integer.MAX_VALUE),
                    DEFAULT_WEIGHT);

    private final Map<AccountId, AccountUsage> accounts = new HashMap<>();
    private final Map<TaskId, QueuedTask> tasks = new HashMap<>();
    private final TreeSet<AccountUsage> eligible = new TreeSet<>(AccountUsage.ORDER);
    private final List<AccountUsage> skippedAccounts = new ArrayList<>();
    private Map<AccountId, Quota> quotas;
    private Resources capacity;
    private long activeWeight;

    private FairShareQueue(Resources capacity, Map<AccountId, Quota> quotas) {
        this.capacity = capacity;
        this.quotas = Map.copyOf(quotas);
    }

    /**
     * Creates an empty queue.
     *
     * @param capacity resources of all usable hosts together
     * @param quotas quotas of the accounts that have one
     * @return the queue
     */
    public static FairShareQueue of(Resources capacity, Map<AccountId, Quota> quotas) {
        Objects.requireNonNull(capacity, "capacity is null");
        Objects.requireNonNull(quotas, "quotas is null");
        return new FairShareQueue(capacity, quotas);
    }

    /**
     * Applies a change of the hosts or the rules. Takes linear time in the number of accounts.
     *
     * @param newCapacity resources of all usable hosts together
     * @param newQuotas quotas of the accounts that have one
     */
    public void configure(Resources newCapacity, Map<AccountId, Quota> newQuotas) {
        capacity = Objects.requireNonNull(newCapacity, "newCapacity is null");
        quotas = Map.copyOf(Objects.requireNonNull(newQuotas, "newQuotas is null"));
        eligible.clear();
        activeWeight = 0;
        for (AccountUsage usage : accounts.values()) {
            usage.quota(quotaOf(usage.account()));
            usage.allocated(usage.allocated(), capacity);
            activeWeight += usage.quota().weight();
            addIfEligible(usage);
        }
    }

    /**
     * Adds a task.
     *
     * @param task the task
     * @return false if the task is already waiting
     */
    public boolean submit(QueuedTask task) {
        Objects.requireNonNull(task, "task is null");
        if (tasks.putIfAbsent(task.id(), task) != null) {
            return false;
        }
        AccountUsage usage = getOrCreate(task.account());
        eligible.remove(usage);
        usage.waiting().add(task);
        addIfEligible(usage);
        return true;
    }

    /**
     * Removes a waiting task.
     *
     * @param id the task
     * @return the task, empty if it is not waiting
     */
    public Optional<QueuedTask> cancel(TaskId id) {
        QueuedTask task = tasks.remove(id);
        if (task == null) {
            return Optional.empty();
        }
        AccountUsage usage = accounts.get(task.account());
        eligible.remove(usage);
        usage.waiting().remove(task);
        updateOrRemove(usage);
        return Optional.of(task);
    }

    /**
     * Returns the task to place next. It stays in the queue until it is started or cancelled.
     *
     * @return the task, empty if all accounts are skipped, have reached their limits or have no
     *     tasks
     */
    public Optional<QueuedTask> next() {
        return eligible.isEmpty()
                ? Optional.empty()
                : Optional.of(eligible.first().waiting().first());
    }

    /**
     * Removes a placed task from the queue and allocates its resources to its account.
     *
     * @param id the task
     * @return the task, empty if it is not waiting
     */
    public Optional<QueuedTask> start(TaskId id) {
        Optional<QueuedTask> task = Optional.ofNullable(tasks.get(id));
        task.ifPresent(
                started -> {
                    allocate(started.account(), started.request());
                    cancel(id);
                });
        return task;
    }

    /**
     * Skips an account until {@link #resetSkipped}, because its first task cannot be placed now.
     *
     * @param account the account
     */
    public void skip(AccountId account) {
        AccountUsage usage = accounts.get(account);
        if (usage != null && !usage.isSkipped()) {
            eligible.remove(usage);
            usage.skipped(true);
            skippedAccounts.add(usage);
        }
    }

    /** Starts a new round, in which skipped accounts are considered again. */
    public void resetSkipped() {
        for (AccountUsage usage : skippedAccounts) {
            usage.skipped(false);
            addIfEligible(usage);
        }
        skippedAccounts.clear();
    }

    /**
     * Allocates resources to an account, such as those of a lease that predates this queue.
     *
     * @param account the account
     * @param resources the resources
     */
    public void allocate(AccountId account, Resources resources) {
        AccountUsage usage = getOrCreate(account);
        eligible.remove(usage);
        usage.allocated(usage.allocated().plus(resources), capacity);
        addIfEligible(usage);
    }

    /**
     * Releases allocated resources of an account after the end of a task is confirmed.
     *
     * @param account the account
     * @param resources the resources
     */
    public void release(AccountId account, Resources resources) {
        AccountUsage usage = accounts.get(account);
        if (usage == null) {
            throw new IllegalArgumentException(account + " holds no resources");
        }
        eligible.remove(usage);
        usage.allocated(usage.allocated().minus(resources), capacity);
        updateOrRemove(usage);
    }

    /**
     * Returns whether a task could be placed if its account held no other resources.
     *
     * @param account the account
     * @param request resources of the task
     * @return false if the quota or the total capacity is too small
     */
    public boolean isFeasible(AccountId account, Resources request) {
        return request.fitsWithin(capacity) && request.fitsWithin(quotaOf(account).limit());
    }

    /**
     * Returns the resources that are allocated to an account.
     *
     * @param account the account
     * @return the resources
     */
    public Resources allocated(AccountId account) {
        AccountUsage usage = accounts.get(account);
        return usage == null ? Resources.none() : usage.allocated();
    }

    /**
     * Returns the weight of an account as a share of the weights of all active accounts.
     *
     * @param account the account
     * @return the fair share, 0 to 1
     */
    public double fairShare(AccountId account) {
        int weight = quotaOf(account).weight();
        long otherWeight = accounts.containsKey(account) ? activeWeight - weight : activeWeight;
        return (double) weight / (otherWeight + weight);
    }

    /**
     * Returns the share of the capacity that an account holds of its dominant resource.
     *
     * @param account the account
     * @return the dominant share
     */
    public double dominantShare(AccountId account) {
        return allocated(account).dominantShare(capacity);
    }

    /**
     * Returns the number of waiting tasks of all accounts.
     *
     * @return the number of tasks
     */
    public int waiting() {
        return tasks.size();
    }

    /**
     * Returns the number of waiting tasks of an account.
     *
     * @param account the account
     * @return the number of tasks
     */
    public int waiting(AccountId account) {
        AccountUsage usage = accounts.get(account);
        return usage == null ? 0 : usage.waiting().size();
    }

    Resources capacity() {
        return capacity;
    }

    int weight(AccountId account) {
        return quotaOf(account).weight();
    }

    private Quota quotaOf(AccountId account) {
        return quotas.getOrDefault(account, UNLIMITED);
    }

    private AccountUsage getOrCreate(AccountId account) {
        AccountUsage usage = accounts.get(account);
        if (usage == null) {
            usage = new AccountUsage(account, quotaOf(account));
            accounts.put(account, usage);
            activeWeight += usage.quota().weight();
        }
        return usage;
    }

    /** Restores the account's place in the order, or removes it if it has no tasks or resources. */
    private void updateOrRemove(AccountUsage usage) {
        if (usage.isIdle()) {
            accounts.remove(usage.account());
            skippedAccounts.remove(usage);
            activeWeight -= usage.quota().weight();
        } else {
            addIfEligible(usage);
        }
    }

    private void addIfEligible(AccountUsage usage) {
        if (usage.isEligible()) {
            eligible.add(usage);
        }
    }
}
