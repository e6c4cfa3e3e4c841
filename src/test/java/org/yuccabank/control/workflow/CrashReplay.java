package org.yuccabank.control.workflow;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.yuccabank.policy.workflow.FeasibleFirstOrder;
import org.yuccabank.policy.workflow.InterferenceAwareSelector;
import org.yuccabank.policy.workflow.Pressures;
import org.yuccabank.policy.workflow.WorkerCircuitBreaker;
import org.yuccabank.protocol.generated.ActiveRun;
import org.yuccabank.protocol.generated.Assignment;
import org.yuccabank.protocol.generated.EndedRun;
import org.yuccabank.protocol.generated.ResourceVector;
import org.yuccabank.protocol.generated.RunAddress;
import org.yuccabank.protocol.generated.RunEnding;
import org.yuccabank.protocol.generated.SchedulingRound;
import org.yuccabank.protocol.generated.TaskAddress;
import org.yuccabank.protocol.generated.WorkerCrash;
import org.yuccabank.protocol.generated.WorkerIdentity;
import org.yuccabank.protocol.generated.WorkerReport;
import org.yuccabank.protocol.generated.WorkflowCommand;
import org.yuccabank.state.workflow.WorkflowRecords;
import org.yuccabank.state.workflow.WorkflowTask;

/**
 * Replays the scheduling of workflows on fake workers, some tasks of which crash their worker. The
 * time advances in fixed steps, so each replay gives the same result.
 */
final class CrashReplay {

    private static final long STEP_MILLIS = 100;
    private static final long REPORT_INTERVAL_MILLIS = 600;
    private static final long RESTART_MILLIS = 3_000;
    private static final long MAXIMUM_LIST_AGE_MILLIS = 1_500;
    private static final long STABLE_MILLIS = 500;

    private static final LearnedEstimates ESTIMATES =
            new LearnedEstimates() {
                @Override
                public double runMillis(String queueName, String stepKey, long declaredMillis) {
                    return declaredMillis;
                }

                @Override
                public Pressures pressures() {
                    return (serving, bestEffort) -> 0;
                }

                @Override
                public Map<String, Double> pressureLimits(String workerId) {
                    return Map.of();
                }
            };

    private final WorkflowRecords records = new WorkflowRecords();
    private final WorkflowPlanner planner =
            new WorkflowPlanner(new FeasibleFirstOrder(), new InterferenceAwareSelector());
    private final RunMonitor runMonitor = new RunMonitor();
    private final CrashCounters crashCounters = new CrashCounters();
    private final List<FakeWorker> workers = new ArrayList<>();
    private final Set<String> deadlyWorkflowIds;
    private final long crashDelayMillis;
    private final long runMillis;
    private final Map<TaskAddress, Integer> crashes = new HashMap<>();
    private long nowMillis;
    private int workerCrashes;
    private final Map<TaskAddress, Integer> startsAfterThirdCrash = new HashMap<>();

    /** A worker that runs all that is assigned to it until it crashes. */
    private static final class FakeWorker {

        private final String id;
        private final Map<RunAddress, Long> startedAtMillis = new LinkedHashMap<>();
        private WorkerIdentity identity;
        private List<ActiveRun> listed = List.of();
        private final List<WorkerCrash> crashes = new ArrayList<>();
        private long listedAtMillis;
        private long upAtMillis;

        private FakeWorker(String id) {
            this.id = id;
            identity = incarnation(0);
        }

        private WorkerIdentity incarnation(long bornMillis) {
            return WorkerIdentity.newBuilder()
                    .setWorkerId(id)
                    .setHostId(id)
                    .setBornMillis(bornMillis)
                    .build();
        }
    }

    CrashReplay(
            int workerCount, Set<String> deadlyWorkflowIds, long crashDelayMillis, long runMillis) {
        this.deadlyWorkflowIds = deadlyWorkflowIds;
        this.crashDelayMillis = crashDelayMillis;
        this.runMillis = runMillis;
        for (int number = 0; number < workerCount; number++) {
            workers.add(new FakeWorker("worker-" + number));
        }
    }

    WorkflowRecords records() {
        return records;
    }

    int workerCrashes() {
        return workerCrashes;
    }

    /** Returns the starts of tasks under which three workers had crashed. */
    int startsAfterThirdCrash() {
        return startsAfterThirdCrash.values().stream().mapToInt(Integer::intValue).sum();
    }

    /** Returns the most starts of one task under which three workers had crashed. */
    int mostStartsAfterThirdCrash() {
        return startsAfterThirdCrash.values().stream().mapToInt(Integer::intValue).max().orElse(0);
    }

    void apply(WorkflowCommand command) {
        records.apply(command, nowMillis);
    }

    void advance(long millis) {
        long endMillis = nowMillis + millis;
        while (nowMillis < endMillis) {
            nowMillis += STEP_MILLIS;
            workers.forEach(this::advance);
            planner.plan(records, availableWorkers(), ESTIMATES, false, nowMillis)
                    .forEach(this::assign);
        }
    }

    private void advance(FakeWorker worker) {
        if (nowMillis < worker.upAtMillis) {
            return;
        }
        if (worker.identity.getBornMillis() < worker.upAtMillis) {
            worker.identity = worker.incarnation(worker.upAtMillis);
            worker.listedAtMillis = nowMillis;
            worker.listed = List.of();
        }
        worker.crashes.forEach(this::endRunsOfCrashedWorker);
        worker.crashes.removeIf(crash -> records.openRuns(crash.getWorker()).isEmpty());
        for (RunAddress run : List.copyOf(worker.startedAtMillis.keySet())) {
            long ageMillis = nowMillis - worker.startedAtMillis.get(run);
            if (isDeadly(run) && ageMillis >= crashDelayMillis) {
                crash(worker, RESTART_MILLIS);
                return;
            }
            if (ageMillis >= runMillis) {
                worker.startedAtMillis.remove(run);
                end(EndedRun.newBuilder().setRun(run).setEnding(RunEnding.RUN_DONE).build());
            }
        }
        if (nowMillis - worker.listedAtMillis >= REPORT_INTERVAL_MILLIS) {
            list(worker);
        }
    }

    private void list(FakeWorker worker) {
        worker.listedAtMillis = nowMillis;
        worker.listed =
                worker.startedAtMillis.entrySet().stream()
                        .map(
                                each ->
                                        ActiveRun.newBuilder()
                                                .setRun(each.getKey())
                                                .setStable(isStable(each.getValue()))
                                                .build())
                        .toList();
        for (ActiveRun active : worker.listed) {
            records.openRun(active.getRun())
                    .ifPresent(
                            task ->
                                    runMonitor.updateProgress(
                                            active, task, nowMillis, other -> false));
        }
    }

    private boolean isStable(long startedMillis) {
        return nowMillis - startedMillis >= STABLE_MILLIS;
    }

    /** Returns whether a run crashes its worker; of a poisoned workflow, only one task does. */
    private boolean isDeadly(RunAddress run) {
        TaskAddress task = run.getTask();
        return deadlyWorkflowIds.contains(task.getWorkflowId())
                && task.getStep() == 0
                && task.getIndex() == 0;
    }

    /** Crashes a worker that is up for a cause other than its tasks. */
    void crash(int worker) {
        crash(worker, RESTART_MILLIS);
    }

    /** Crashes a worker as {@link #crash(int)} does, for a given time. */
    void crash(int worker, long downMillis) {
        if (nowMillis >= workers.get(worker).upAtMillis) {
            crash(workers.get(worker), downMillis);
        }
    }

    private void crash(FakeWorker worker, long downMillis) {
        workerCrashes++;
        worker.startedAtMillis
                .keySet()
                .forEach(run -> crashes.merge(run.getTask(), 1, Integer::sum));
        WorkerCrash crash =
                WorkerCrash.newBuilder()
                        .setWorker(worker.identity)
                        .addAllSuspects(
                                worker.startedAtMillis.entrySet().stream()
                                        .filter(each -> !isStable(each.getValue()))
                                        .map(Map.Entry::getKey)
                                        .toList())
                        .build();
        worker.crashes.add(crash);
        crashCounters.recordReport(
                report(worker).toBuilder().setCrash(crash).build(), records, nowMillis);
        worker.startedAtMillis.clear();
        worker.upAtMillis = nowMillis + downMillis;
    }

    private void endRunsOfCrashedWorker(WorkerCrash crash) {
        Set<WorkflowTask> openRuns = Set.copyOf(records.openRuns(crash.getWorker()));
        WorkerView.ReportedCrash reported = new WorkerView.ReportedCrash(crash, nowMillis, true);
        if (!openRuns.isEmpty()) {
            crashCounters.recordCrash(reported, openRuns.size());
        }
        List<EndedRun> ends =
                CrashSuspects.endsOf(
                        openRuns,
                        Optional.of(reported),
                        crashCounters.history(),
                        "a new incarnation has started",
                        run -> "");
        crashCounters.decided(ends, Optional.of(reported), nowMillis).forEach(this::end);
    }

    private void end(EndedRun ended) {
        EndedRun recorded =
                ended.toBuilder().setStable(runMonitor.isCleared(ended.getRun())).build();
        records.openRun(ended.getRun())
                .ifPresent(task -> runMonitor.recordEnd(recorded, task, nowMillis));
        apply(
                WorkflowCommand.newBuilder()
                        .setRound(SchedulingRound.newBuilder().addEnded(recorded))
                        .build());
        crashCounters.recordCommitted(List.of(recorded), records);
    }

    private List<AvailableWorker> availableWorkers() {
        return workers.stream()
                .filter(each -> nowMillis - each.listedAtMillis <= MAXIMUM_LIST_AGE_MILLIS)
                .map(
                        each ->
                                new AvailableWorker(
                                        report(each),
                                        WorkerCircuitBreaker.State.CLOSED,
                                        crashCounters
                                                .history()
                                                .reliability(each.identity, nowMillis)))
                .toList();
    }

    private static WorkerReport report(FakeWorker worker) {
        return WorkerReport.newBuilder()
                .setHostId(worker.id)
                .setWorker(worker.identity)
                .setService("service")
                .addAllActive(worker.listed)
                .setCapacity(
                        ResourceVector.newBuilder()
                                .setProcessorMillis(8_000)
                                .setMemoryMebibytes(64_000))
                .build();
    }

    private void assign(Assignment assignment) {
        RunAddress run = assignment.getRun();
        apply(
                WorkflowCommand.newBuilder()
                        .setRound(SchedulingRound.newBuilder().addAssigned(assignment))
                        .build());
        FakeWorker worker =
                workers.stream()
                        .filter(each -> each.identity.equals(assignment.getWorker()))
                        .findFirst()
                        .orElseThrow();
        if (nowMillis < worker.upAtMillis) {
            return;
        }
        worker.startedAtMillis.put(run, nowMillis);
        if (isDeadly(run) && crashes.getOrDefault(run.getTask(), 0) >= 3) {
            startsAfterThirdCrash.merge(run.getTask(), 1, Integer::sum);
        }
    }
}
