package org.yuccabank.control.workflow;

import org.yuccabank.event.RequestLineBudget;
import org.yuccabank.event.RequestLines;
import org.yuccabank.protocol.generated.StepDefinition;
import org.yuccabank.protocol.generated.WorkflowDefinition;

/**
 * Decides whose log lines are kept on all processes. The decision on a workflow is made once, when
 * the leader accepts it, and is part of its definition. Confined to the replica thread.
 */
final class LineDecisions {

    /**
     * Task starts per second whose lines are kept, above the 130 of the largest site and the 100 of
     * the small ones. A start has about five lines on all processes.
     */
    static final long TASKS_PER_SECOND = 150;

    /** Covers a load of twice the rate for 40 s. */
    static final long BURST_TASKS = 6_000;

    private final RequestLineBudget budget;

    LineDecisions(long nowMillis) {
        budget = RequestLineBudget.of(TASKS_PER_SECOND, BURST_TASKS, nowMillis);
    }

    /** Decides on a request that is refused, which has one line and counts as one task. */
    RequestLines decideRefused(long nowMillis) {
        return budget.decide(1, nowMillis);
    }

    /** Returns a definition that is about to be accepted with the decision on its lines. */
    WorkflowDefinition decide(WorkflowDefinition definition, long nowMillis) {
        long tasks =
                definition.getStepsList().stream().mapToLong(StepDefinition::getTaskCount).sum()
                        * Math.max(1, definition.getOccurrences());
        RequestLines lines = budget.decide(tasks, nowMillis);
        return definition.toBuilder().setLogOmitted(lines == RequestLines.OMITTED).build();
    }
}
