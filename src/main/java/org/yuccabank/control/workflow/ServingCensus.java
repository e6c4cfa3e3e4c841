package org.yuccabank.control.workflow;

import java.util.Collection;
import java.util.Set;
import java.util.stream.Collectors;
import org.yuccabank.protocol.generated.WorkerIdentity;
import org.yuccabank.state.workflow.Workflow;
import org.yuccabank.state.workflow.WorkflowRecords;
import org.yuccabank.state.workflow.WorkflowTask;

/**
 * Counts the serving tasks of the accepted workflows. Immutable.
 *
 * @param placed tasks with an open run on an available worker
 * @param displaced tasks without an open run, or whose worker is not available
 */
record ServingCensus(int placed, int displaced) {

    /** Counts the tasks at one point in time. */
    static ServingCensus of(WorkflowRecords records, Collection<AvailableWorker> workers) {
        Set<WorkerIdentity> available =
                workers.stream().map(each -> each.report().getWorker()).collect(Collectors.toSet());
        int placed = 0;
        int displaced = 0;
        for (Workflow workflow : records.liveWorkflows()) {
            if (!workflow.step(0).getLasting()) {
                continue;
            }
            for (WorkflowTask task : workflow.allTasks()) {
                if (task.worker().filter(available::contains).isPresent()) {
                    placed++;
                } else {
                    displaced++;
                }
            }
        }
        return new ServingCensus(placed, displaced);
    }
}
