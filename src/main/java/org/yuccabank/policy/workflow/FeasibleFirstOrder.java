package org.yuccabank.policy.workflow;

import java.util.Comparator;
import java.util.List;

/**
 * Orders tasks by whether their workflow can still meet its deadline, then by priority, then by
 * value per remaining core-second. Under overload, an order by deadline alone would start many
 * workflows and finish few in time. Immutable.
 */
public final class FeasibleFirstOrder implements TaskOrder {

    private enum Feasibility {
        IN_TIME,
        LATE,
        INFEASIBLE
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
        return endMillis <= task.hardDeadlineMillis() ? Feasibility.LATE : Feasibility.INFEASIBLE;
    }
}
