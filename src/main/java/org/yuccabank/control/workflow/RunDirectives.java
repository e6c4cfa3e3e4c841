package org.yuccabank.control.workflow;

import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import org.yuccabank.protocol.generated.EndedRun;
import org.yuccabank.protocol.generated.RunAddress;
import org.yuccabank.protocol.generated.WorkerDirectives;
import org.yuccabank.protocol.generated.WorkerIdentity;
import org.yuccabank.state.workflow.WorkflowRecords;
import org.yuccabank.state.workflow.WorkflowTask;

/**
 * Determines the runs that the agent of a worker has to start and to stop.
 *
 * <p>Invariant: a run whose end the leader is about to record is never started, as its task may
 * start elsewhere with the same round. Stateless.
 */
final class RunDirectives {

    private RunDirectives() {}

    /**
     * Adds the starts and stops for a worker to its directives.
     *
     * @param pendingEnds the ends that are not committed yet
     * @param mustStop returns whether an open run of the worker has to stop
     */
    static void addTo(
            WorkerDirectives.Builder directives,
            WorkerView view,
            WorkflowRecords records,
            Map<RunAddress, EndedRun> pendingEnds,
            Predicate<WorkflowTask> mustStop) {
        Set<RunAddress> reportedRuns = view.reportedRuns();
        for (WorkflowTask task : records.openRuns(view.worker())) {
            if (mustStop.test(task)) {
                directives.addStops(task.run());
            } else if (!pendingEnds.containsKey(task.run())
                    && view.needsStart(task.run(), reportedRuns)) {
                directives.addStarts(StartRunBuilder.build(task));
            }
        }
        for (WorkerIdentity earlier : view.earlierIncarnations()) {
            records.openRuns(earlier).forEach(task -> directives.addStops(task.run()));
        }
        for (RunAddress run : view.activeRuns()) {
            if (records.openRun(run).isEmpty()) {
                directives.addStops(run);
            }
        }
    }
}
