package org.yuccabank.control.workflow;

import java.util.List;
import java.util.Optional;
import org.yuccabank.protocol.generated.EndedRun;
import org.yuccabank.protocol.generated.RunEnding;
import org.yuccabank.protocol.generated.WorkerIdentity;
import org.yuccabank.protocol.generated.WorkerReport;
import org.yuccabank.state.workflow.WorkflowRecords;
import org.yuccabank.state.workflow.WorkflowTask;

/**
 * Selects the ends of a report that prove the end of a run.
 *
 * <p>Invariants: only the host that a run is assigned to can end it; an end that the worker has not
 * listed is recorded only if its agent knew of all other agent processes of that worker. Stateless.
 */
final class ReportedEnds {

    private ReportedEnds() {}

    /**
     * Returns the ends to record.
     *
     * @param givingUpReliable whether the runs that the agent has given up will not start any more
     */
    static List<EndedRun> toRecord(
            WorkerReport report, WorkflowRecords records, boolean givingUpReliable) {
        return report.getEndedList().stream()
                .filter(ended -> proves(ended, report.getWorker(), records, givingUpReliable))
                .toList();
    }

    private static boolean proves(
            EndedRun ended,
            WorkerIdentity reporting,
            WorkflowRecords records,
            boolean givingUpReliable) {
        Optional<WorkerIdentity> assigned =
                records.openRun(ended.getRun()).flatMap(WorkflowTask::worker);
        if (assigned.isEmpty()) {
            return false;
        }
        return isListed(ended)
                ? assigned.get().getHostId().equals(reporting.getHostId())
                : givingUpReliable && assigned.get().equals(reporting);
    }

    /**
     * Returns the ends of a report that show that a task is done whose latest run was ended
     * otherwise. They are recorded instead of the next run.
     */
    static List<EndedRun> late(WorkerReport report, WorkflowRecords records) {
        return report.getEndedList().stream()
                .filter(ended -> isLate(ended, report.getWorker(), records))
                .map(
                        ended ->
                                ended.toBuilder()
                                        .setLate(true)
                                        .setReason("done, although ended otherwise before")
                                        .build())
                .toList();
    }

    /** Returns whether an end shows that a task is done whose latest run was ended otherwise. */
    static boolean isLate(EndedRun ended, WorkerIdentity reporting, WorkflowRecords records) {
        return isListed(ended)
                && ended.getEnding() == RunEnding.RUN_DONE
                && !reporting.getHostId().isEmpty()
                && records.taskWaitingAfter(ended.getRun())
                        .filter(task -> task.latestHostId().equals(reporting.getHostId()))
                        .isPresent();
    }

    /** Returns whether the worker itself has listed an end. */
    static boolean isListed(EndedRun ended) {
        return ended.getNumber() > 0;
    }
}
