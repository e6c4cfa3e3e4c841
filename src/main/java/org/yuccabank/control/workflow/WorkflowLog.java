package org.yuccabank.control.workflow;

import java.util.List;
import org.yuccabank.event.Event;
import org.yuccabank.event.EventLog;
import org.yuccabank.protocol.generated.Assignment;
import org.yuccabank.protocol.generated.EndedRun;
import org.yuccabank.protocol.generated.FleetConfiguration;
import org.yuccabank.protocol.generated.QueueDefinition;
import org.yuccabank.protocol.generated.RunAddress;
import org.yuccabank.protocol.generated.RunEnding;
import org.yuccabank.protocol.generated.TaskAddress;
import org.yuccabank.protocol.generated.WorkerIdentity;
import org.yuccabank.protocol.generated.WorkflowDefinition;

/** Log lines of the leader's decisions about workflows. Has no state. */
final class WorkflowLog {

    void accepting(
            WorkflowDefinition definition,
            QueueDefinition queue,
            FleetConfiguration configuration) {
        EventLog.information(
                Event.WORKFLOW_ACCEPTED,
                "workflow",
                definition.getWorkflowId(),
                "queue",
                queue.getName(),
                "steps",
                definition.getStepsCount(),
                "configuration",
                configuration.getVersion());
    }

    void refusing(WorkflowDefinition definition, QueueDefinition queue, long comeBackMillis) {
        EventLog.information(
                Event.REQUEST_REFUSED,
                "workflow",
                definition.getWorkflowId(),
                "queue",
                queue.getName(),
                "reason",
                "the backlog is too long",
                "comeBackMillis",
                comeBackMillis);
    }

    void workerReplaced(WorkerIdentity before, WorkerIdentity now) {
        EventLog.information(Event.WORKER_REPLACED, "worker", text(now), "before", text(before));
    }

    void workerLost(WorkerIdentity worker, int openRuns) {
        EventLog.warning(Event.WORKER_LOST, "worker", text(worker), "openRuns", openRuns);
    }

    void round(List<EndedRun> ended, List<Assignment> assigned) {
        for (EndedRun each : ended) {
            if (each.getEnding() != RunEnding.RUN_DONE) {
                EventLog.information(
                        Event.RUN_ENDED,
                        "run",
                        text(each.getRun()),
                        "ending",
                        each.getEnding(),
                        "reason",
                        each.getReason());
            }
        }
        for (Assignment each : assigned) {
            EventLog.information(
                    Event.RUN_ASSIGNED,
                    "run",
                    text(each.getRun()),
                    "worker",
                    text(each.getWorker()));
        }
    }

    private static String text(WorkerIdentity worker) {
        return worker.getWorkerId() + "/" + worker.getBornMillis();
    }

    static String text(RunAddress run) {
        TaskAddress task = run.getTask();
        return task.getWorkflowId()
                + "."
                + task.getOccurrence()
                + "."
                + task.getStep()
                + "."
                + task.getIndex()
                + "#"
                + run.getAttempt();
    }
}
