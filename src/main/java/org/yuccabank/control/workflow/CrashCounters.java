package org.yuccabank.control.workflow;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import java.util.List;
import org.yuccabank.event.Event;
import org.yuccabank.event.EventLog;
import org.yuccabank.protocol.generated.EndedRun;
import org.yuccabank.protocol.generated.RunEnding;
import org.yuccabank.protocol.generated.WorkerCrash;
import org.yuccabank.protocol.generated.WorkerIdentity;
import org.yuccabank.state.workflow.WorkflowRecords;
import org.yuccabank.state.workflow.WorkflowTask;

/**
 * Counts and logs the crashes of workers and the tasks that are given up because of them. Confined
 * to the replica thread.
 */
final class CrashCounters {

    private final Counter workerCrashes = new Counter();
    private final Counter tasksGivenUp = new Counter();

    void registerMetrics(MetricRegistry metrics) {
        metrics.register("workerCrashes", workerCrashes);
        metrics.register("tasksGivenUp", tasksGivenUp);
    }

    /** Records a crash of a worker with open runs. */
    void recordCrash(WorkerCrash crash, int openRuns) {
        workerCrashes.inc();
        EventLog.warning(
                Event.WORKER_CRASHED,
                "worker",
                format(crash.getWorker()),
                "openRuns",
                openRuns,
                "suspects",
                crash.getSuspectsCount(),
                "suspectWorkflows",
                CrashSuspects.workflowCount(crash.getSuspectsList()));
    }

    /** Records the tasks that committed ends have caused to be given up. */
    void recordCommitted(List<EndedRun> ended, WorkflowRecords records) {
        for (EndedRun each : ended) {
            if (each.getEnding() == RunEnding.RUN_WORKER_CRASHED) {
                records.workflow(each.getRun().getTask().getWorkflowId())
                        .flatMap(workflow -> workflow.task(each.getRun().getTask()))
                        .filter(WorkflowRecords::isGivenUp)
                        .ifPresent(task -> recordGivenUp(task, each));
            }
        }
    }

    private void recordGivenUp(WorkflowTask task, EndedRun ended) {
        tasksGivenUp.inc();
        EventLog.warning(
                Event.TASK_GIVEN_UP,
                "workflow",
                task.workflow().id(),
                "run",
                WorkflowLog.format(ended.getRun()),
                "crashes",
                task.crashes());
    }

    private static String format(WorkerIdentity worker) {
        return worker.getWorkerId() + "/" + worker.getBornMillis();
    }
}
