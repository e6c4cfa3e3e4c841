package org.yuccabank.control.workflow;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.function.Predicate;
import org.yuccabank.event.Event;
import org.yuccabank.event.EventLog;
import org.yuccabank.policy.workflow.RunProgress;
import org.yuccabank.policy.workflow.RunTimes;
import org.yuccabank.policy.workflow.ThrottledRun;
import org.yuccabank.policy.workflow.WaitingTask;
import org.yuccabank.policy.workflow.WorkerCircuitBreaker;
import org.yuccabank.protocol.generated.ActiveRun;
import org.yuccabank.protocol.generated.Assignment;
import org.yuccabank.protocol.generated.EndedRun;
import org.yuccabank.protocol.generated.RunAddress;
import org.yuccabank.protocol.generated.RunEnding;
import org.yuccabank.protocol.generated.StepDefinition;
import org.yuccabank.state.workflow.WorkflowTask;

/**
 * Monitors the progress of open runs and the ends of runs on each worker, and decides which runs to
 * restart on another worker. Confined to the replica thread; times are read from a monotonic clock.
 */
final class RunMonitor {

    private final Map<RunAddress, RunProgress> progress = new HashMap<>();
    private final Set<RunAddress> restarts = new HashSet<>();
    private final Set<RunAddress> clearedRuns = new HashSet<>();
    private final Map<RunAddress, ThrottledRun> throttledRuns = new HashMap<>();
    private final WorkerCircuitBreaker circuitBreaker = new WorkerCircuitBreaker();
    private final RunTimes runTimes = new RunTimes();

    /**
     * Processes the reported progress of an open run.
     *
     * @param canMigrate returns whether another worker can take a task
     */
    void updateProgress(
            ActiveRun run, WorkflowTask task, long nowMillis, Predicate<WorkflowTask> canMigrate) {
        if (run.getStable() && CrashSuspects.isSuspect(task)) {
            clearedRuns.add(run.getRun());
        }
        StepDefinition step = task.workflow().step(task.address().getStep());
        recordActive(run, task, step.getLasting(), nowMillis);
        if (restarts.contains(run.getRun()) || step.getGang()) {
            return;
        }
        if (shouldMigrate(run, step, nowMillis) && canMigrate.test(task)) {
            requestRestart(run, task, "slowed down");
            return;
        }
        RunProgress runProgress =
                progress.computeIfAbsent(
                        run.getRun(), key -> new RunProgress(step.getEstimatedMillis()));
        runProgress.report(run.getPercent(), run.getSlowedByPercent() == 0, nowMillis);
        RunProgress.Assessment assessment =
                runProgress.assess(step.getCheckpointing(), runTimes.medianMillis(task.stepKey()));
        if (assessment != RunProgress.Assessment.KEEP) {
            String workerId = task.worker().orElseThrow().getWorkerId();
            circuitBreaker.recordFailure(workerId, task.address().getWorkflowId(), nowMillis);
            requestRestart(run, task, assessment.toString());
        }
    }

    private void recordActive(ActiveRun run, WorkflowTask task, boolean lasting, long nowMillis) {
        String workerId = task.worker().orElseThrow().getWorkerId();
        if (circuitBreaker.hasFailures(workerId)) {
            circuitBreaker.recordActive(
                    workerId,
                    WorkflowLog.format(run.getRun()),
                    run.getPercent(),
                    lasting,
                    nowMillis);
        }
    }

    /** Processes the committed assignment of a run. */
    void recordAssignment(Assignment assignment) {
        String workerId = assignment.getWorker().getWorkerId();
        if (circuitBreaker.hasFailures(workerId)) {
            circuitBreaker.recordAssignment(workerId, WorkflowLog.format(assignment.getRun()));
        }
    }

    private boolean shouldMigrate(ActiveRun run, StepDefinition step, long nowMillis) {
        return StepEstimates.loadKind(step) == WaitingTask.LoadKind.BEST_EFFORT
                && throttledRuns
                        .computeIfAbsent(run.getRun(), key -> new ThrottledRun())
                        .shouldMove(
                                run.getSlowedByPercent(),
                                run.getPercent(),
                                step.getCheckpointing(),
                                nowMillis);
    }

    private void requestRestart(ActiveRun run, WorkflowTask task, String reason) {
        restarts.add(run.getRun());
        EventLog.information(
                WorkflowLog.lines(task.workflow()),
                Event.RUN_RESTARTED,
                "run",
                WorkflowLog.format(run.getRun()),
                "worker",
                task.worker().orElseThrow().getWorkerId(),
                "reason",
                reason,
                "percent",
                run.getPercent(),
                "slowedByPercent",
                run.getSlowedByPercent());
    }

    /** Returns whether an open run of a suspect has been seen not to crash its worker. */
    boolean isCleared(RunAddress run) {
        return clearedRuns.contains(run);
    }

    /** Processes the end of an open run. */
    void recordEnd(EndedRun ended, WorkflowTask task, long nowMillis) {
        Optional<RunProgress> runProgress = Optional.ofNullable(progress.remove(ended.getRun()));
        restarts.remove(ended.getRun());
        clearedRuns.remove(ended.getRun());
        throttledRuns.remove(ended.getRun());
        StepDefinition step = task.workflow().step(task.address().getStep());
        boolean lasting = step.getLasting();
        if (ended.getEnding() == RunEnding.RUN_DONE) {
            runProgress
                    .map(RunProgress::fullRunMillis)
                    .filter(OptionalDouble::isPresent)
                    .ifPresent(
                            fullRunMillis ->
                                    runTimes.recordRunTime(
                                            task.stepKey(),
                                            task.workflow().queue().getName(),
                                            fullRunMillis.getAsDouble(),
                                            step.getEstimatedMillis(),
                                            step.getTaskCount()));
        }
        String workerId = task.worker().orElseThrow().getWorkerId();
        // An unknown outcome may be a success, so it counts neither for nor against the worker.
        if (ended.getEnding() == RunEnding.RUN_DONE) {
            circuitBreaker.recordSuccess(workerId);
        } else if (ended.getEnding() == RunEnding.RUN_NOT_STARTED
                || ended.getEnding() == RunEnding.RUN_OUTCOME_UNKNOWN
                || (ended.getEnding() == RunEnding.RUN_FAILED && !lasting)) {
            circuitBreaker.recordFailure(workerId, task.address().getWorkflowId(), nowMillis);
        }
        if (circuitBreaker.hasFailures(workerId)) {
            circuitBreaker.recordEnd(workerId, WorkflowLog.format(ended.getRun()));
        }
    }

    /** Returns the expected duration of a full run of a step. */
    double runMillis(String queueName, String stepKey, long declaredMillis) {
        return runTimes.expectedMillis(queueName, stepKey, declaredMillis);
    }

    /** Returns the run times learned so far. */
    RunTimes runTimes() {
        return runTimes;
    }

    boolean shouldRestart(RunAddress run) {
        return restarts.contains(run);
    }

    /**
     * Returns the circuit breaker state of a worker. If the circuits of more than half of the
     * workers are not closed, the cause is assumed to lie elsewhere and all workers count as
     * closed.
     */
    WorkerCircuitBreaker.State circuitState(
            String workerId, Collection<String> allWorkerIds, long nowMillis) {
        long notClosed =
                allWorkerIds.stream()
                        .filter(
                                each ->
                                        circuitBreaker.state(each, nowMillis)
                                                != WorkerCircuitBreaker.State.CLOSED)
                        .count();
        return 2 * notClosed > allWorkerIds.size()
                ? WorkerCircuitBreaker.State.CLOSED
                : circuitBreaker.state(workerId, nowMillis);
    }

    void clear() {
        progress.clear();
        restarts.clear();
        clearedRuns.clear();
        throttledRuns.clear();
        circuitBreaker.clear();
    }
}
