package org.yuccabank.agent.workflow;

import org.yuccabank.event.Event;
import org.yuccabank.event.EventLog;
import org.yuccabank.protocol.generated.WorkerIdentity;

/** Logs what an agent sees of its worker. Stateless. */
final class WorkflowAgentLog {

    private WorkflowAgentLog() {}

    static void joined(WorkerIdentity worker) {
        EventLog.information(
                Event.HOST_JOINED, "worker", worker.getWorkerId(), "born", worker.getBornMillis());
    }

    static void announcementRefused(
            WorkerIdentity announced, WorkerApi.Identification identification) {
        EventLog.warning(
                Event.ANNOUNCEMENT_REFUSED,
                "worker",
                announced.getWorkerId(),
                "born",
                announced.getBornMillis(),
                "identification",
                identification);
    }

    static void unreachable(WorkerIdentity worker, String detail) {
        EventLog.warning(
                Event.WORKER_UNREACHABLE, "worker", worker.getWorkerId(), "detail", detail);
    }

    static void unsettledCall(RunEntry entry, String detail) {
        EventLog.warning(
                Event.ORDER_UNSETTLED,
                "workflow",
                entry.run().getTask().getWorkflowId(),
                "step",
                entry.run().getTask().getStep(),
                "index",
                entry.run().getTask().getIndex(),
                "attempt",
                entry.run().getAttempt(),
                "detail",
                detail);
    }
}
