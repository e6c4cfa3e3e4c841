package org.yuccabank.control.workflow;

import java.util.HashSet;
import java.util.Set;
import java.util.stream.Collectors;
import org.yuccabank.protocol.generated.RunAddress;
import org.yuccabank.protocol.generated.WorkerIdentity;
import org.yuccabank.state.workflow.WorkflowRecords;
import org.yuccabank.state.workflow.WorkflowTask;

/**
 * Determines when the runs of the earlier incarnations of a worker have ended.
 *
 * <p>A host runs one worker at a time, so a new incarnation proves the end of its predecessors. But
 * a call names the identifier of its worker only. A worker that starts again under the same
 * identifier may carry out a start that was sent to its predecessor, even later.
 *
 * <p>Invariant: a run of an earlier incarnation with the same identifier ends only after the
 * current one has listed its end, has confirmed its stop and does not list it, or has run it and
 * lists neither it nor its end. It refuses to start a run that it has run or stopped. Stateless.
 */
final class EarlierIncarnations {

    private EarlierIncarnations() {}

    /** Returns the earlier incarnations on the host of a worker that have open runs. */
    static Set<WorkerIdentity> of(WorkerIdentity current, WorkflowRecords records) {
        Set<WorkerIdentity> earlier = new HashSet<>();
        for (WorkerIdentity worker : records.workersWithOpenRuns()) {
            if (worker.getHostId().equals(current.getHostId())
                    && worker.getBornMillis() < current.getBornMillis()) {
                earlier.add(worker);
            }
        }
        return earlier;
    }

    /** Returns the open runs of an earlier incarnation that have ended and will not start. */
    static Set<WorkflowTask> endedRuns(
            WorkerIdentity earlier, WorkerView view, WorkflowRecords records) {
        boolean sameIdentifier = earlier.getWorkerId().equals(view.worker().getWorkerId());
        Set<RunAddress> givenUp = view.runsGivenUp();
        return records.openRuns(earlier).stream()
                .filter(task -> !sameIdentifier || givenUp.contains(task.run()))
                .collect(Collectors.toSet());
    }
}
