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
 * Waiting tasks of all accounts, in the order of weighted dominant resource fairness: next comes
 * the first task of the account whose dominant share, divided by its weight, is least.
 *
 * <p>Share that other accounts do not use is lent: an account may hold more than its fair share up
 * to the limit of its quota, and {@link BoundedPreemption} takes borrowed resources back. No
 * account ever exceeds its limit through a task that this queue gave out.
 *
 * <p>The caller takes {@link #next}, and either places the task and calls {@link #start}, or finds
 * no place for it and calls {@link #skip}, so that other accounts get their turn in this round. All
 * calls cost logarithmic time in the number of tasks and accounts, except those that say otherwise.
 * Mutable; confined to one thread.
 */
public final class FairShareQueue {

    /** Weight of an account that no rule mentions; such an account has no limit of its own. */
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
     * Follows a change of the hosts or of the rules. Costs time in the number of accounts.
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
            usage.held(usage.held(), capacity);
            activeWeight += usage.quota().weight();
            addIfEligible(usage);
        }
    }

    /**
     * Adds a task.
     *
     * @param task the task
     * @return false if the task already waits
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
     * Removes a task that waits.
     *
     * @param id the task
     * @return the task, empty if it does not wait
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
     * The task to place next. Stays in the queue until it is started, set aside or cancelled.
     *
     * @return the task, empty if no account has a task within its limit that is not set aside
     */
    public Optional<QueuedTask> next() {
        return eligible.isEmpty()
                ? Optional.empty()
                : Optional.of(eligible.first().waiting().first());
    }

    /**
     * Takes a task that was placed out of the queue and counts its resources as held.
     *
     * @param id the task
     * @return the task, empty if it does not wait
     */
    public Optional<QueuedTask> start(TaskId id) {
        Optional<QueuedTask> task = Optional.ofNullable(tasks.get(id));
        task.ifPresent(
                started -> {
                    hold(started.account(), started.request());
                    cancel(id);
                });
        return task;
    }

    /**
     * Passes over an account until {@link #resetSkipped}, because its first task has no place now.
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

    /** Starts a new round: accounts that were set aside take part again. */
    public void resetSkipped() {
        for (AccountUsage usage : skippedAccounts) {
            usage.skipped(false);
            addIfEligible(usage);
        }
        skippedAccounts.clear();
    }

    /**
     * Counts resources as held, such as those of a lease that is older than this queue.
     *
     * @param account the account
     * @param resources the resources
     */
    public void hold(AccountId account, Resources resources) {
        AccountUsage usage = getOrCreate(account);
        eligible.remove(usage);
        usage.held(usage.held().plus(resources), capacity);
        addIfEligible(usage);
    }

    /**
     * Counts resources as no longer held, after the task's end is confirmed.
     *
     * @param account the account
     * @param resources the resources
     */
    public void release(AccountId account, Resources resources) {
        AccountUsage usage = accounts.get(account);
        if (usage == null) {
            throw new IllegalArgumentException(account + " holds nothing");
        }
        eligible.remove(usage);
        usage.held(usage.held().minus(resources), capacity);
        updateOrRemove(usage);
    }

    /**
     * Tells whether a task could be placed if its account held nothing else.
     *
     * @param account the account
     * @param request resources of the task
     * @return false if the quota or the whole capacity is too small
     */
    public boolean isFeasible(AccountId account, Resources request) {
        return request.fitsWithin(capacity) && request.fitsWithin(quotaOf(account).limit());
    }

    /**
     * Resources that an account holds.
     *
     * @param account the account
     * @return the resources
     */
    public Resources held(AccountId account) {
        AccountUsage usage = accounts.get(account);
        return usage == null ? Resources.none() : usage.held();
    }

    /**
     * Part of the capacity that is the account's by weight among the accounts that have tasks.
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
     * Part of the capacity that the account holds of its dominant resource.
     *
     * @param account the account
     * @return the dominant share
     */
    public double dominantShare(AccountId account) {
        return held(account).dominantShare(capacity);
    }

    /**
     * Number of tasks that wait.
     *
     * @return the tasks of all accounts
     */
    public int waiting() {
        return tasks.size();
    }

    /**
     * Number of tasks of an account that wait.
     *
     * @param account the account
     * @return the tasks
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

    /** Orders the account again, or forgets it when it neither waits nor holds anything. */
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
