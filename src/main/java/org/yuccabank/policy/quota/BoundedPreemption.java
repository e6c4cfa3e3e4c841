package org.yuccabank.policy.quota;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import org.yuccabank.model.AccountId;
import org.yuccabank.model.Resources;

/**
 * Preempts tasks of accounts above their fair share for an account below its fair share. Tasks that
 * lose the least work are stopped first, up to a maximum per account and interval.
 *
 * <p>A task runs on borrowed resources while its account holds more than its fair share. It is
 * stopped only if its account keeps at least the weighted share that the claimant reaches by
 * starting its task, so that two accounts never preempt each other in turn. Mutable; confined to
 * one thread.
 */
public final class BoundedPreemption implements PreemptionPolicy {

    /** Maximum number of tasks of one account that are stopped per interval. */
    public static final int DEFAULT_TASKS_PER_INTERVAL = 4;

    public static final long DEFAULT_INTERVAL_MILLIS = 60_000;

    private final FairShareQueue queue;
    private final int tasksPerInterval;
    private final long intervalMillis;
    private final Map<AccountId, Deque<Long>> stops = new HashMap<>();

    private BoundedPreemption(FairShareQueue queue, int tasksPerInterval, long intervalMillis) {
        this.queue = queue;
        this.tasksPerInterval = tasksPerInterval;
        this.intervalMillis = intervalMillis;
    }

    /**
     * Creates a policy.
     *
     * @param queue queue with the resources allocated to each account
     * @param tasksPerInterval maximum number of tasks of one account that are stopped per interval
     * @param intervalMillis length of the interval
     * @return the policy
     */
    public static BoundedPreemption of(
            FairShareQueue queue, int tasksPerInterval, long intervalMillis) {
        Objects.requireNonNull(queue, "queue is null");
        return new BoundedPreemption(queue, tasksPerInterval, intervalMillis);
    }

    @Override
    public List<RunningTask> choose(
            QueuedTask claimant,
            Resources shortfall,
            Collection<RunningTask> running,
            long nowMillis) {
        AccountId account = claimant.account();
        if (queue.dominantShare(account) >= queue.fairShare(account)) {
            return List.of();
        }
        List<RunningTask> byLostWork = new ArrayList<>(running);
        byLostWork.sort(
                Comparator.comparingLong(RunningTask::lostWorkMillis)
                        .thenComparing(RunningTask::id));
        Selection selection = new Selection(claimant, nowMillis);
        for (RunningTask task : byLostWork) {
            if (shortfall.fitsWithin(selection.freed)) {
                break;
            }
            selection.considerTask(task);
        }
        if (!shortfall.fitsWithin(selection.freed)) {
            return List.of();
        }
        selection.chosen.forEach(task -> stopTimes(task.account()).addLast(nowMillis));
        return List.copyOf(selection.chosen);
    }

    private int remainingStops(AccountId account, long nowMillis) {
        Deque<Long> times = stops.get(account);
        if (times == null) {
            return tasksPerInterval;
        }
        while (!times.isEmpty() && times.getFirst() <= nowMillis - intervalMillis) {
            times.removeFirst();
        }
        if (times.isEmpty()) {
            stops.remove(account);
        }
        return tasksPerInterval - times.size();
    }

    private Deque<Long> stopTimes(AccountId account) {
        return stops.computeIfAbsent(account, key -> new ArrayDeque<>());
    }

    /** Tasks selected for one claimant. */
    private final class Selection {
        private final List<RunningTask> chosen = new ArrayList<>();
        private final Map<AccountId, Resources> remaining = new HashMap<>();
        private final Map<AccountId, Integer> counts = new HashMap<>();
        private final QueuedTask claimant;
        private final double claimantShare;
        private final long nowMillis;
        private Resources freed = Resources.none();

        private Selection(QueuedTask claimant, long nowMillis) {
            this.claimant = claimant;
            this.nowMillis = nowMillis;
            Resources after = queue.allocated(claimant.account()).plus(claimant.request());
            this.claimantShare = weightedShare(claimant.account(), after);
        }

        private void considerTask(RunningTask task) {
            AccountId account = task.account();
            Resources before = remaining.getOrDefault(account, queue.allocated(account));
            Resources after = before.minus(task.held());
            int count = counts.getOrDefault(account, 0);
            boolean isBorrowed = before.dominantShare(queue.capacity()) > queue.fairShare(account);
            if (!account.equals(claimant.account())
                    && isBorrowed
                    && weightedShare(account, after) >= claimantShare
                    && count < remainingStops(account, nowMillis)) {
                chosen.add(task);
                remaining.put(account, after);
                counts.put(account, count + 1);
                freed = freed.plus(task.held());
            }
        }

        private double weightedShare(AccountId account, Resources allocated) {
            return allocated.dominantShare(queue.capacity()) / queue.weight(account);
        }
    }
}
