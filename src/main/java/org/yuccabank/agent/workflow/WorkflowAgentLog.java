package org.yuccabank.agent.workflow;

import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.yuccabank.event.Event;
import org.yuccabank.event.EventLog;
import org.yuccabank.event.RequestLines;
import org.yuccabank.protocol.generated.EndedRun;
import org.yuccabank.protocol.generated.RunAddress;
import org.yuccabank.protocol.generated.StartRun;
import org.yuccabank.protocol.generated.TaskAddress;
import org.yuccabank.protocol.generated.WorkerIdentity;

/**
 * Logs what an agent sees of its worker and what it orders. Lines on a run whose definition the
 * agent does not know are written, as the leader may have decided to keep them. Stateless.
 */
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

    static void unreachable(WorkerIdentity worker, WorkerApi.ListOutcome outcome) {
        EventLog.warning(
                Event.WORKER_UNREACHABLE, "worker", worker.getWorkerId(), "detail", outcome);
    }

    /** Logs that it is unknown which incarnation, if any, has discarded acknowledged ends. */
    static void acknowledgementUnsettled(
            WorkerAnnouncement target, long number, WorkerApi.ListOutcome outcome) {
        EventLog.warning(
                Event.ACKNOWLEDGEMENT_UNSETTLED,
                "worker",
                format(target),
                "number",
                number,
                "detail",
                outcome);
    }

    static void unsettledCall(RunEntry entry, String detail) {
        EventLog.warning(
                lines(entry),
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
                detail,
                "run",
                format(entry.run()));
    }

    static void startSent(
            RunEntry entry, WorkerAnnouncement target, long fencingToken, OptionalLong leaseEnd) {
        EventLog.information(
                lines(entry),
                Event.START_SENT,
                "run",
                format(entry.run()),
                "worker",
                format(target),
                "token",
                fencingToken,
                "leaseEnd",
                leaseEnd.orElse(0));
    }

    static void startAnswered(
            RunEntry entry, WorkerAnnouncement target, WorkerApi.CallOutcome outcome) {
        EventLog.information(
                lines(entry),
                Event.START_ANSWERED,
                "run",
                format(entry.run()),
                "worker",
                format(target),
                "outcome",
                format(outcome),
                "stage",
                entry.stage());
    }

    static void stopSent(RunEntry entry, WorkerAnnouncement target, long fencingToken) {
        EventLog.information(
                lines(entry),
                Event.STOP_SENT,
                "run",
                format(entry.run()),
                "worker",
                format(target),
                "token",
                fencingToken,
                "requested",
                entry.isStopRequested(),
                "stage",
                entry.stage());
    }

    static void stopAnswered(
            RunEntry entry, WorkerAnnouncement target, WorkerApi.CallOutcome outcome) {
        EventLog.information(
                lines(entry),
                Event.STOP_ANSWERED,
                "run",
                format(entry.run()),
                "worker",
                format(target),
                "outcome",
                format(outcome),
                "stage",
                entry.stage());
    }

    /** Logs that a list requested at a time after the confirmed stop does not contain the run. */
    static void absenceConfirmed(RunEntry entry, long listRequestedMillis) {
        EventLog.information(
                lines(entry),
                Event.ABSENCE_CONFIRMED,
                "run",
                format(entry.run()),
                "listRequestedAfterMillis",
                listRequestedMillis - entry.absenceCheckedFromMillis());
    }

    static void discovered(RunAddress run, String source) {
        EventLog.information(
                RequestLines.UNDECIDED, Event.RUN_DISCOVERED, "run", format(run), "source", source);
    }

    static void endListed(RunEntry entry, EndedRun end) {
        EventLog.information(
                lines(entry),
                Event.END_LISTED,
                "run",
                format(entry.run()),
                "ending",
                end.getEnding(),
                "endNumber",
                end.getNumber(),
                "reason",
                end.getReason(),
                "stage",
                entry.stage());
    }

    /**
     * Logs that the worker has discarded ends before any list contained them.
     *
     * @param count the number of ends
     * @param listed the ends of the list that has the gap
     */
    static void endsDiscarded(long count, List<EndedRun> listed, long acknowledgedNumber) {
        EventLog.warning(
                Event.ENDS_DISCARDED,
                "count",
                count,
                "firstNumber",
                listed.get(0).getNumber(),
                "lastNumber",
                listed.get(listed.size() - 1).getNumber(),
                "acknowledgedNumber",
                acknowledgedNumber);
    }

    /** Logs that a list contains neither a run that has started nor its end. */
    static void endMissing(RunEntry entry, long acknowledgedNumber) {
        EventLog.warning(
                lines(entry),
                Event.END_MISSING,
                "run",
                format(entry.run()),
                "stage",
                entry.stage(),
                "percent",
                entry.listed().getPercent(),
                "acknowledgedNumber",
                acknowledgedNumber);
    }

    /** Logs a run that this agent has not started on an incarnation that was born again. */
    static void startOfFormerIncarnation(RunAddress run, String source) {
        EventLog.warning(
                RequestLines.UNDECIDED,
                Event.FORMER_START_EXECUTED,
                "run",
                format(run),
                "source",
                source);
    }

    static void dropped(Collection<RunEntry> entries) {
        for (RunEntry entry : entries) {
            EventLog.information(
                    lines(entry),
                    Event.RUN_DROPPED,
                    "run",
                    format(entry.run()),
                    "stage",
                    entry.stage(),
                    "endNumber",
                    entry.end().map(EndedRun::getNumber).orElse(0L));
        }
    }

    /**
     * Logs a promise that the next report contains, in times of the worker's clock.
     *
     * @param latestSentEnd end of the latest lease, empty if the worker has ended
     * @param clock estimate of the worker's clock, empty if the worker has ended
     */
    static void leaseEndPromised(OptionalLong latestSentEnd, OptionalLong clock) {
        EventLog.information(
                Event.LEASE_END_PROMISED,
                "leaseLeftMillis",
                Math.max(0, latestSentEnd.orElse(0) - clock.orElse(0)),
                "latestSentEnd",
                latestSentEnd.orElse(0),
                "clock",
                clock.orElse(0),
                "reason",
                clock.isPresent() ? "the worker does not answer" : "the worker has ended");
    }

    /** Logs that a grant has ended a promise, in times of the worker's clock. */
    static void granted(boolean promised, OptionalLong clockAtReport, OptionalLong latestSentEnd) {
        if (promised) {
            EventLog.information(
                    Event.LEASE_GRANT_RESUMED,
                    "clockAtReport",
                    clockAtReport.orElse(0),
                    "latestSentEnd",
                    latestSentEnd.orElse(0));
        }
    }

    private static RequestLines lines(RunEntry entry) {
        Optional<StartRun> request = entry.startRequest();
        return request.map(each -> RequestLines.decided(each.getLogOmitted()))
                .orElse(RequestLines.UNDECIDED);
    }

    private static String format(WorkerAnnouncement target) {
        return target.identity().getWorkerId() + "/" + target.identity().getBornMillis();
    }

    private static String format(WorkerApi.CallOutcome outcome) {
        if (outcome instanceof WorkerApi.CallOutcome.Done) {
            return "done";
        }
        if (outcome instanceof WorkerApi.CallOutcome.Refused refused) {
            return "refused: " + refused.refusal();
        }
        return outcome instanceof WorkerApi.CallOutcome.Unanswered unanswered
                ? "not answered: " + unanswered.detail()
                : "not sent: " + ((WorkerApi.CallOutcome.Unsent) outcome).detail();
    }

    /** Returns the form that the lines of the leader have. */
    static String format(RunAddress run) {
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
