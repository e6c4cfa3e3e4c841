package org.yuccabank.control.workflow;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.yuccabank.event.Event;
import org.yuccabank.event.EventLog;
import org.yuccabank.protocol.generated.EndedRun;
import org.yuccabank.protocol.generated.RunEnding;
import org.yuccabank.protocol.generated.WorkerCrash;
import org.yuccabank.protocol.generated.WorkerReport;
import org.yuccabank.protocol.generated.WorkflowPhase;
import org.yuccabank.state.workflow.WorkflowRecords;
import org.yuccabank.state.workflow.WorkflowTask;

/**
 * Counts and logs the crashes of workers and the workflows that are given up because of them.
 * Confined to the replica thread.
 */
final class CrashCounters {

    private final WorkerCrashHistory history = new WorkerCrashHistory();
    private final Counter workerCrashes = new Counter();
    private final Counter workflowsGivenUp = new Counter();

    void registerMetrics(MetricRegistry metrics) {
        metrics.register("workerCrashes", workerCrashes);
        metrics.register("workflowsGivenUp", workflowsGivenUp);
    }

    /** Returns the recent crashes of the workers. */
    WorkerCrashHistory history() {
        return history;
    }

    /**
     * Records what a report says on crashes, so that those which happened together are known when
     * their runs end.
     *
     * @param report the latest report of a host
     * @param nowMillis time at which it was received
     */
    void recordReport(WorkerReport report, WorkflowRecords records, long nowMillis) {
        if (!report.hasCrash() || !report.getCrash().getWorker().equals(report.getWorker())) {
            history.groups().withdraw(report.getWorker());
        }
        report.getEarlierCrashesList()
                .forEach(each -> history.record(each, nowMillis - each.getAgeMillis()));
        if (report.hasCrash()) {
            WorkerCrash crash = report.getCrash();
            history.groups()
                    .record(
                            crash.getWorker(),
                            nowMillis - crash.getAgeMillis(),
                            CrashSuspects.isExpected(crash, records));
        }
    }

    /**
     * Returns the ends of a crash that can be recorded: those that accuse a task wait until it is
     * known whether other workers went down at the same time.
     */
    List<EndedRun> decided(
            List<EndedRun> ends, Optional<WorkerView.ReportedCrash> crash, long nowMillis) {
        boolean undecided =
                crash.filter(
                                each ->
                                        history.groups()
                                                .isUndecided(each.crash().getWorker(), nowMillis))
                        .isPresent();
        return ends.stream()
                .filter(each -> !undecided || each.getEnding() != RunEnding.RUN_WORKER_CRASHED)
                .toList();
    }

    /**
     * Records a crash of a worker with open runs, unless it is recorded already.
     *
     * @param reported the crash
     * @param openRuns number of open runs of the worker
     */
    void recordCrash(WorkerView.ReportedCrash reported, int openRuns) {
        WorkerCrash crash = reported.crash();
        if (!history.record(crash, reported.reportedAtMillis())) {
            return;
        }
        workerCrashes.inc();
        EventLog.warning(
                Event.WORKER_CRASHED,
                "worker",
                AvailableWorker.key(crash.getWorker()),
                "openRuns",
                openRuns,
                "suspects",
                crash.getSuspectsCount(),
                "uncertainSuspects",
                crash.getUncertainSuspectsCount(),
                "suspectWorkflows",
                CrashSuspects.workflowCount(crash.getSuspectsList()),
                "ageMillis",
                crash.getAgeMillis(),
                "proven",
                reported.proven(),
                "shared",
                history.groups().isShared(crash.getWorker()));
    }

    /** Records the workflows that committed ends have caused to be given up. */
    void recordCommitted(List<EndedRun> ended, WorkflowRecords records) {
        Map<String, WorkflowTask> givenUp = new LinkedHashMap<>();
        for (EndedRun each : ended) {
            if (each.getEnding() == RunEnding.RUN_WORKER_CRASHED) {
                records.workflow(each.getRun().getTask().getWorkflowId())
                        .flatMap(workflow -> workflow.task(each.getRun().getTask()))
                        .filter(task -> task.workflow().phase() == WorkflowPhase.WORKFLOW_FAILED)
                        .filter(WorkflowRecords::isGivenUp)
                        .ifPresent(task -> givenUp.putIfAbsent(task.workflow().id(), task));
            }
        }
        givenUp.values().forEach(this::recordGivenUp);
    }

    private void recordGivenUp(WorkflowTask task) {
        workflowsGivenUp.inc();
        history.removeCrashesOf(task.workflow().id());
        EventLog.warning(
                WorkflowLog.lines(task.workflow()),
                Event.WORKFLOW_GIVEN_UP,
                "workflow",
                task.workflow().id(),
                "run",
                WorkflowLog.format(task.run()),
                "crashes",
                task.crashes(),
                "soleSuspect",
                task.isSoleSuspect());
    }
}
