package org.yuccabank.policy.workflow;

import java.util.Comparator;
import java.util.List;

/**
 * Orders by whether the workflow can still end in time, then by priority, then by the time that is
 * left beyond the longest remaining chain. Answers the overload in which ordering by deadline alone
 * spends the capacity on work that is late already. Immutable.
 */
public final class FeasibleFirstOrder implements TaskOrder {

    private enum Hope {
        IN_TIME,
        LATE,
        NONE
    }

    @Override
    public List<WaitingTask> order(List<WaitingTask> tasks, long nowMillis) {
        return tasks.stream()
                .sorted(
                        Comparator.comparing((WaitingTask task) -> hope(task, nowMillis))
                                .thenComparingInt(WaitingTask::priority)
                                .thenComparingLong(FeasibleFirstOrder::latestStart)
                                .thenComparing(WaitingTask::stepKey)
                                .thenComparingInt(WaitingTask::index))
                .toList();
    }

    private static long latestStart(WaitingTask task) {
        return task.deadlineMillis() - task.remainingMillis();
    }

    private static Hope hope(WaitingTask task, long nowMillis) {
        long end = nowMillis + task.remainingMillis();
        if (end <= task.deadlineMillis()) {
            return Hope.IN_TIME;
        }
        return end <= task.lateMillis() ? Hope.LATE : Hope.NONE;
    }
}
