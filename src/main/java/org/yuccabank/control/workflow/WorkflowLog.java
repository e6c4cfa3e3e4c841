package org.yuccabank.control.workflow;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.yuccabank.event.Event;
import org.yuccabank.event.EventLog;
import org.yuccabank.event.RequestLines;
import org.yuccabank.protocol.generated.Assignment;
import org.yuccabank.protocol.generated.EndedRun;
import org.yuccabank.protocol.generated.FleetConfiguration;
import org.yuccabank.protocol.generated.QueueDefinition;
import org.yuccabank.protocol.generated.RunAddress;
import org.yuccabank.protocol.generated.RunEnding;
import org.yuccabank.protocol.generated.TaskAddress;
import org.yuccabank.protocol.generated.WorkerIdentity;
import org.yuccabank.protocol.generated.WorkerReport;
import org.yuccabank.protocol.generated.WorkflowDefinition;
import org.yuccabank.state.workflow.Workflow;
import org.yuccabank.state.workflow.WorkflowRecords;
import org.yuccabank.state.workflow.WorkflowTask;

/**
 * Logs the leader's decisions about workflows with the reports that they rest on, and counts the
 * ends of runs. It keeps the latest report of each host and how runs ended, only for the log.
 * Confined to the replica thread, except for the counters.
 */
final class WorkflowLog {

    /** Tasks whose latest end is kept, and superseded ends that are not logged again. */
    private static final int MAXIMUM_REMEMBERED_ENDS = 20_000;

    /** Source of an end that the worker has listed with a number. */
    private static final String WORKER_LIST = "worker list";

    /** Source of an end that the agent has concluded from a refusal or from an absence. */
    private static final String AGENT = "agent";

    /** Source of an end that the leader has concluded from the lease or another incarnation. */
    private static final String LEADER = "leader";

    private record ReceivedReport(WorkerReport report, long receivedMillis) {}

    private final Map<String, ReceivedReport> latestReports = new HashMap<>();
    private final Map<RunEnding, Counter> ends = new HashMap<>();
    private final Map<TaskAddress, String> previousEnds = boundedMap();
    private final Set<RunAddress> supersededEnds = Collections.newSetFromMap(boundedMap());
    private long term;

    WorkflowLog() {
        Arrays.stream(RunEnding.values()).forEach(each -> ends.put(each, new Counter()));
    }

    void registerMetrics(MetricRegistry metrics) {
        ends.forEach(
                (ending, counter) ->
                        metrics.register(
                                "runs_ended_" + ending.name().toLowerCase(Locale.ROOT), counter));
    }

    /** Forgets what belongs to a former leader. */
    void leadershipChanged(long newTerm) {
        term = newTerm;
        latestReports.clear();
        previousEnds.clear();
        supersededEnds.clear();
    }

    private static <K, V> Map<K, V> boundedMap() {
        return new LinkedHashMap<>() {
            @Override
            protected boolean removeEldestEntry(Map.Entry<K, V> eldest) {
                return size() > MAXIMUM_REMEMBERED_ENDS;
            }
        };
    }

    /**
     * Remembers a report that the leader has accepted, and logs the ends in it that the leader has
     * recorded otherwise, each once.
     */
    void reported(WorkerReport report, WorkflowRecords records, long nowMillis) {
        latestReports.put(report.getHostId(), new ReceivedReport(report, nowMillis));
        report.getEndedList().stream()
                .filter(end -> end.getNumber() > 0 && end.getEnding() == RunEnding.RUN_DONE)
                .forEach(end -> superseded(end, report.getWorker(), records));
    }

    /** Returns what happens to the lines of a workflow. */
    static RequestLines lines(Workflow workflow) {
        return RequestLines.decided(workflow.definition().getLogOmitted());
    }

    private static RequestLines lines(RunAddress run, WorkflowRecords records) {
        return records.workflow(run.getTask().getWorkflowId())
                .map(WorkflowLog::lines)
                .orElse(RequestLines.UNDECIDED);
    }

    void accepted(
            WorkflowDefinition definition,
            QueueDefinition queue,
            FleetConfiguration configuration) {
        EventLog.information(
                RequestLines.decided(definition.getLogOmitted()),
                Event.WORKFLOW_ACCEPTED,
                "workflow",
                definition.getWorkflowId(),
                "queue",
                queue.getName(),
                "steps",
                definition.getStepsCount(),
                "configuration",
                configuration.getVersion(),
                "term",
                term);
    }

    void refused(
            RequestLines lines,
            WorkflowDefinition definition,
            QueueDefinition queue,
            long retryAfterMillis) {
        EventLog.information(
                lines,
                Event.REQUEST_REFUSED,
                "workflow",
                definition.getWorkflowId(),
                "queue",
                queue.getName(),
                "reason",
                "the backlog is too long",
                "comeBackMillis",
                retryAfterMillis);
    }

    void workerReplaced(WorkerIdentity previous, WorkerIdentity current) {
        EventLog.information(
                Event.WORKER_REPLACED,
                "worker",
                format(current),
                "before",
                format(previous),
                "term",
                term);
    }

    void workerLost(WorkerIdentity worker, int openRuns, long nowMillis) {
        List<Object> details = details("worker", format(worker), "openRuns", openRuns);
        addReport(details, worker, nowMillis);
        EventLog.warning(Event.WORKER_LOST, details.toArray());
    }

    void bestEffortHeld(boolean held, ServingCensus serving) {
        EventLog.information(
                Event.BEST_EFFORT_HELD,
                "held",
                held,
                "servingTasksPlaced",
                serving.placed(),
                "servingTasksDisplaced",
                serving.displaced());
    }

    void round(
            List<EndedRun> ended,
            List<Assignment> assigned,
            WorkflowRecords records,
            long nowMillis) {
        ended.forEach(each -> ended(each, records, nowMillis));
        assigned.forEach(each -> assigned(each, records, nowMillis));
    }

    private void ended(EndedRun end, WorkflowRecords records, long nowMillis) {
        ends.get(end.getEnding()).inc();
        String source = source(end);
        if (end.getEnding() != RunEnding.RUN_DONE) {
            previousEnds.put(
                    end.getRun().getTask(),
                    end.getEnding() + "#" + end.getRun().getAttempt() + " by " + source);
        }
        List<Object> details =
                details(
                        "run", format(end.getRun()),
                        "ending", end.getEnding(),
                        "reason", end.getReason(),
                        "source", source,
                        "endNumber", end.getNumber());
        Optional<WorkerIdentity> worker =
                records.openRun(end.getRun()).flatMap(WorkflowTask::worker);
        details.add("worker");
        details.add(worker.map(WorkflowLog::format).orElse("unknown"));
        worker.ifPresent(each -> addReport(details, each, nowMillis));
        EventLog.information(lines(end.getRun(), records), Event.RUN_ENDED, details.toArray());
    }

    private void superseded(EndedRun end, WorkerIdentity worker, WorkflowRecords records) {
        RunAddress run = end.getRun();
        Optional<WorkflowTask> task =
                records.workflow(run.getTask().getWorkflowId())
                        .flatMap(workflow -> workflow.task(run.getTask()))
                        .filter(
                                each ->
                                        each.latestAttempt() > run.getAttempt()
                                                || (each.isWaiting()
                                                        && !each.workflow().isFinal()));
        if (task.isEmpty() || !supersededEnds.add(run)) {
            return;
        }
        EventLog.warning(
                lines(run, records),
                Event.END_SUPERSEDED,
                "run",
                format(run),
                "worker",
                format(worker),
                "endNumber",
                end.getNumber(),
                "attempt",
                task.get().latestAttempt(),
                "previousEnd",
                previousEnds.getOrDefault(run.getTask(), "of an earlier leader"),
                "term",
                term);
    }

    private void assigned(Assignment assignment, WorkflowRecords records, long nowMillis) {
        RunAddress run = assignment.getRun();
        List<Object> details =
                details("run", format(run), "worker", format(assignment.getWorker()));
        if (run.getAttempt() > 1) {
            details.add("previousEnd");
            details.add(previousEnds.getOrDefault(run.getTask(), "of an earlier leader"));
        }
        addReport(details, assignment.getWorker(), nowMillis);
        EventLog.information(lines(run, records), Event.RUN_ASSIGNED, details.toArray());
    }

    /** Returns who has told the leader of an end. */
    static String source(EndedRun end) {
        if (end.getNumber() > 0) {
            return WORKER_LIST;
        }
        return switch (end.getEnding()) {
            case RUN_WORKER_LOST, RUN_WORKER_CRASHED -> LEADER;
            default -> AGENT;
        };
    }

    /**
     * Adds the latest report on a worker. A report of another incarnation on the same host is named
     * by its time of birth, because it can be the cause of a decision.
     */
    private void addReport(List<Object> details, WorkerIdentity worker, long nowMillis) {
        details.addAll(List.of("term", term));
        ReceivedReport received = latestReports.get(worker.getHostId());
        if (received == null) {
            details.addAll(List.of("report", "none in this term"));
            return;
        }
        WorkerReport report = received.report();
        details.addAll(
                List.of(
                        "report",
                        Long.toHexString(report.getReporterId()) + "/" + report.getSequence(),
                        "reportAgeMillis",
                        nowMillis - received.receivedMillis(),
                        "listed",
                        report.getListed()));
        if (!report.getWorker().equals(worker)) {
            details.addAll(List.of("reportedWorker", format(report.getWorker())));
        }
        if (report.hasLeaseLeftMillis()) {
            details.addAll(List.of("leaseLeftMillis", report.getLeaseLeftMillis()));
        }
        if (report.getLeaving()) {
            details.addAll(List.of("leaving", true));
        }
    }

    private static List<Object> details(Object... namesAndValues) {
        return new ArrayList<>(Arrays.asList(namesAndValues));
    }

    private static String format(WorkerIdentity worker) {
        return worker.getWorkerId() + "/" + worker.getBornMillis();
    }

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
