package org.yuccabank.control.workflow;

import java.util.List;
import java.util.Optional;
import org.yuccabank.protocol.generated.Assignment;
import org.yuccabank.protocol.generated.TaskAddress;
import org.yuccabank.state.workflow.WorkflowRecords;

/**
 * Limits the assignments of one round in the log.
 *
 * <p>Invariant: the members of a gang, which follow each other in a plan, are assigned in one round
 * or not at all, as those that start without the others work in vain. A gang that exceeds the limit
 * makes a round of its own. Stateless.
 */
final class RoundLimit {

    private RoundLimit() {}

    /**
     * Returns the assignments of a plan that make the next round.
     *
     * @param planned the plan, in the order of placement
     * @param maximum number of assignments from which a round is cut
     * @param records the workflows of the plan
     */
    static List<Assignment> firstRound(
            List<Assignment> planned, int maximum, WorkflowRecords records) {
        if (planned.size() <= maximum) {
            return planned;
        }
        int start = maximum;
        while (start > 0 && isSameGang(planned.get(start - 1), planned.get(start), records)) {
            start--;
        }
        if (start > 0) {
            return planned.subList(0, start);
        }
        int end = maximum;
        while (end < planned.size()
                && isSameGang(planned.get(end - 1), planned.get(end), records)) {
            end++;
        }
        return planned.subList(0, end);
    }

    private static boolean isSameGang(Assignment one, Assignment next, WorkflowRecords records) {
        TaskAddress first = one.getRun().getTask();
        TaskAddress second = next.getRun().getTask();
        return first.getWorkflowId().equals(second.getWorkflowId())
                && first.getOccurrence() == second.getOccurrence()
                && first.getStep() == second.getStep()
                && isGang(first, records);
    }

    private static boolean isGang(TaskAddress task, WorkflowRecords records) {
        return Optional.of(task.getWorkflowId())
                .flatMap(records::workflow)
                .filter(workflow -> workflow.step(task.getStep()).getGang())
                .isPresent();
    }
}
