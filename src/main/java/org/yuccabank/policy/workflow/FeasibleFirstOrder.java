package org.yuccabank.policy.workflow;

import java.util.Comparator;
import java.util.List;

/**
 * Orders by whether the workflow can still end in time, then by priority, then by the value of each
 * core-second that the workflow still needs. Answers the overload in which an order by deadline
 * alone starts much and ends little in time. Immutable.
 */
public final class FeasibleFirstOrder implements TaskOrder {

    private enum Feasibility {
        IN_TIME,
        LATE,
        NONE
    }

    @Override
    public List<WaitingTask> order(List<WaitingTask> tasks, long nowMillis) {
        return tasks.stream()
                .sorted(
                        Comparator.comparing((WaitingTask task) -> feasibility(task, nowMillis))
                                .thenComparingInt(WaitingTask::priority)
                                .thenComparing(
                                        Comparator.comparingDouble(WaitingTask::valueDensity)
                                                .reversed())
                                .thenComparing(WaitingTask::stepKey)
                                .thenComparingInt(WaitingTask::index))
                .toList();
    }

    private static Feasibility feasibility(WaitingTask task, long nowMillis) {
        long endMillis = nowMillis + task.remainingMillis();
        if (endMillis <= task.deadlineMillis()) {
            return Feasibility.IN_TIME;
        }
        return endMillis <= task.hardDeadlineMillis() ? Feasibility.LATE : Feasibility.NONE;
    }
}
