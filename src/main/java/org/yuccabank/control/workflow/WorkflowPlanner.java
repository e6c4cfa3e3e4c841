package org.yuccabank.control.workflow;

import java.util.Collection;
import java.util.IdentityHashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.yuccabank.model.Resources;
import org.yuccabank.policy.workflow.TaskOrder;
import org.yuccabank.policy.workflow.WaitingTask;
import org.yuccabank.policy.workflow.WorkerCapacity;
import org.yuccabank.policy.workflow.WorkerSelector;
import org.yuccabank.protocol.generated.ActiveRun;
import org.yuccabank.protocol.generated.Assignment;
import org.yuccabank.protocol.generated.ResourceVector;
import org.yuccabank.protocol.generated.StepDefinition;
import org.yuccabank.protocol.generated.WorkerReport;
import org.yuccabank.state.workflow.Workflow;
import org.yuccabank.state.workflow.WorkflowRecords;
import org.yuccabank.state.workflow.WorkflowTask;

/**
 * Plans the assignment of waiting tasks to workers from the records and the worker reports.
 *
 * <p>Invariants: open runs count against the capacity of their worker until their end is recorded,
 * and runs that the worker's agent reports until it no longer does, as they are being stopped; a
 * task starts only when its occurrence is due and the steps that it depends on are done; a gang
 * starts as a whole; tasks that may crash their worker are placed before others that do not last.
 * Stateless.
 */
final class WorkflowPlanner {

    private final TaskOrder order;
    private final WorkerSelector selector;

    WorkflowPlanner(TaskOrder order, WorkerSelector selector) {
        this.order = order;
        this.selector = selector;
    }

    /**
     * Plans the next assignments.
     *
     * @param records the replicated workflow records
     * @param workers the available workers
     * @param estimates the estimates learned from previous runs
     * @param holdBestEffort whether no best-effort task may start
     * @param nowMillis current time, in milliseconds since the epoch
     * @return the assignments, in descending order of importance
     */
    List<Assignment> plan(
            WorkflowRecords records,
            Collection<AvailableWorker> workers,
            LearnedEstimates estimates,
            boolean holdBestEffort,
            long nowMillis) {
        Map<WaitingTask, StepCandidates> candidates = candidates(records, estimates, nowMillis);
        if (holdBestEffort) {
            candidates
                    .keySet()
                    .removeIf(task -> task.load().kind() == WaitingTask.LoadKind.BEST_EFFORT);
        }
        if (candidates.isEmpty() || workers.isEmpty()) {
            return List.of();
        }
        boolean suspectsWaiting = candidates.values().stream().anyMatch(StepCandidates::isSuspect);
        PlanningRound round =
                new PlanningRound(
                        selector,
                        records,
                        workers,
                        workerCapacities(records, workers, estimates).values(),
                        CrashSuspects.isolation(records, workers, suspectsWaiting),
                        nowMillis);
        List<StepCandidates> ordered =
                order.order(List.copyOf(candidates.keySet()), nowMillis).stream()
                        .map(candidates::get)
                        .toList();
        if (!suspectsWaiting) {
            ordered.forEach(round::place);
            return round.plan();
        }
        // Users of lasting tasks wait meanwhile, so these do not wait for suspects.
        select(ordered, true, false).forEach(round::place);
        select(ordered, true, true).forEach(round::placeSuspects);
        select(ordered, false, true).forEach(round::placeSuspects);
        select(ordered, false, false).forEach(round::place);
        return round.plan();
    }

    private static List<StepCandidates> select(
            List<StepCandidates> steps, boolean lasting, boolean suspect) {
        return steps.stream()
                .filter(step -> step.isLasting() == lasting && step.isSuspect() == suspect)
                .toList();
    }

    private static Map<String, WorkerCapacity> workerCapacities(
            WorkflowRecords records,
            Collection<AvailableWorker> workers,
            LearnedEstimates estimates) {
        Map<String, WorkerCapacity> capacities = new LinkedHashMap<>();
        for (AvailableWorker worker : workers) {
            String key = worker.key();
            WorkerCapacity capacity = workerCapacity(key, worker.report(), records, estimates);
            switch (worker.circuitState()) {
                case HALF_OPEN -> capacity.limitNewTasks(1);
                case PROBING, OPEN -> capacity.limitNewTasks(0);
                default -> {
                    // A closed circuit limits nothing.
                }
            }
            capacities.put(key, capacity);
        }
        return capacities;
    }

    /**
     * Returns the capacity of the workers for migrating tasks, which excludes that used by their
     * open runs.
     */
    MigrationCapacity migrationCapacity(
            WorkflowRecords records,
            Collection<AvailableWorker> workers,
            LearnedEstimates estimates) {
        return new MigrationCapacity(
                workerCapacities(records, workers, estimates).values(), selector);
    }

    /**
     * Reserves capacity on another worker for a running task, and returns whether there was any.
     */
    static boolean tryReserveMigration(
            MigrationCapacity capacity,
            WorkflowTask task,
            WorkflowRecords records,
            LearnedEstimates estimates) {
        WaitingTask request =
                waitingTask(
                        task.workflow(),
                        task.address().getOccurrence(),
                        task.address().getStep(),
                        task,
                        WorkEstimator.of(records, estimates));
        return capacity.tryReserve(request, AvailableWorker.key(task.worker().orElseThrow()));
    }

    private static Map<WaitingTask, StepCandidates> candidates(
            WorkflowRecords records, LearnedEstimates estimates, long nowMillis) {
        WorkEstimator estimator = WorkEstimator.of(records, estimates);
        Map<WaitingTask, StepCandidates> found = new IdentityHashMap<>();
        for (Workflow workflow : records.liveWorkflows()) {
            for (int occurrence = 0; occurrence < workflow.occurrenceCount(); occurrence++) {
                if (workflow.dueMillis(occurrence) > nowMillis) {
                    break;
                }
                for (int step : StepEstimates.stepIndices(workflow)) {
                    if (!workflow.isDone(occurrence, step) && workflow.isReady(occurrence, step)) {
                        stepCandidates(workflow, occurrence, step, estimator)
                                .forEach(each -> found.put(each.representative(), each));
                    }
                }
            }
        }
        return found;
    }

    private static List<StepCandidates> stepCandidates(
            Workflow workflow, int occurrence, int number, WorkEstimator estimator) {
        List<WorkflowTask> tasks =
                workflow.tasks(occurrence, number).stream()
                        .filter(WorkflowTask::isWaiting)
                        .toList();
        StepDefinition step = workflow.step(number);
        if (step.getGang()) {
            return tasks.size() < step.getTaskCount()
                    ? List.of()
                    : List.of(stepCandidates(tasks, estimator));
        }
        return tasks.stream()
                .collect(Collectors.partitioningBy(CrashSuspects::isSuspect))
                .values()
                .stream()
                .filter(group -> !group.isEmpty())
                .map(group -> stepCandidates(group, estimator))
                .toList();
    }

    private static StepCandidates stepCandidates(
            List<WorkflowTask> tasks, WorkEstimator estimator) {
        WorkflowTask first = tasks.get(0);
        WaitingTask waiting =
                waitingTask(
                        first.workflow(),
                        first.address().getOccurrence(),
                        first.address().getStep(),
                        first,
                        estimator);
        return new StepCandidates(waiting, tasks);
    }

    private static WaitingTask waitingTask(
            Workflow workflow,
            int occurrence,
            int number,
            WorkflowTask firstTask,
            WorkEstimator estimator) {
        StepDefinition step = workflow.step(number);
        long startMillis = StepEstimates.startMillis(workflow, occurrence);
        long objectiveMillis = estimator.objectiveMillis(workflow, occurrence);
        WaitingTask.Constraints constraints =
                new WaitingTask.Constraints(
                        workflow.queue().getService(),
                        toOptional(step.getRequiredLabel()),
                        toOptional(step.getPreferredRack()),
                        step.getMostPerWorker());
        return new WaitingTask(
                firstTask.stepKey(),
                firstTask.address().getIndex(),
                StepEstimates.resources(step),
                StepEstimates.load(step),
                workflow.queue().getPriority(),
                startMillis + objectiveMillis,
                startMillis + StepEstimates.HARD_DEADLINE_FACTOR * objectiveMillis,
                step.getLasting() ? 0 : estimator.remainingPathMillis(workflow, occurrence, number),
                estimator.valueDensity(workflow, occurrence),
                constraints);
    }

    private static WorkerCapacity workerCapacity(
            String key, WorkerReport report, WorkflowRecords records, LearnedEstimates estimates) {
        ResourceVector total = report.getCapacity();
        WorkerCapacity workerCapacity =
                new WorkerCapacity(
                        key,
                        report.getService(),
                        report.getRack(),
                        Set.copyOf(report.getLabelsList()),
                        Resources.of(
                                total.getProcessorMillis(),
                                total.getMemoryMebibytes(),
                                total.getAccelerators()),
                        estimates.pressures());
        estimates
                .pressureLimits(report.getWorker().getWorkerId())
                .forEach(workerCapacity::setPressureLimit);
        records.openRuns(report.getWorker()).forEach(task -> reserve(workerCapacity, task));
        for (ActiveRun run : report.getActiveList()) {
            if (records.openRun(run.getRun()).isEmpty()) {
                records.workflow(run.getRun().getTask().getWorkflowId())
                        .flatMap(workflow -> workflow.task(run.getRun().getTask()))
                        .ifPresent(task -> reserve(workerCapacity, task));
            }
        }
        return workerCapacity;
    }

    private static void reserve(WorkerCapacity workerCapacity, WorkflowTask task) {
        StepDefinition step = task.workflow().step(task.address().getStep());
        workerCapacity.reserve(
                task.stepKey(), StepEstimates.resources(step), StepEstimates.load(step));
    }

    private static Optional<String> toOptional(String value) {
        return value.isEmpty() ? Optional.empty() : Optional.of(value);
    }
}
