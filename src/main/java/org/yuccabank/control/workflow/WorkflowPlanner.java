package org.yuccabank.control.workflow;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.IdentityHashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.yuccabank.model.Resources;
import org.yuccabank.policy.workflow.MaximumHeadroomSelector;
import org.yuccabank.policy.workflow.TaskOrder;
import org.yuccabank.policy.workflow.WaitingTask;
import org.yuccabank.policy.workflow.WorkerCapacity;
import org.yuccabank.policy.workflow.WorkerCircuitBreaker;
import org.yuccabank.policy.workflow.WorkerSelector;
import org.yuccabank.protocol.generated.ActiveRun;
import org.yuccabank.protocol.generated.Assignment;
import org.yuccabank.protocol.generated.ResourceVector;
import org.yuccabank.protocol.generated.RunAddress;
import org.yuccabank.protocol.generated.StepDefinition;
import org.yuccabank.protocol.generated.WorkerIdentity;
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
 * starts as a whole. Stateless.
 */
final class WorkflowPlanner {

    private final TaskOrder order;
    private final WorkerSelector selector;
    private final WorkerSelector lastResortSelector = new MaximumHeadroomSelector();

    WorkflowPlanner(TaskOrder order, WorkerSelector selector) {
        this.order = order;
        this.selector = selector;
    }

    /**
     * The waiting tasks of one step. Their requirements are equal, so one task represents them all.
     */
    private record StepCandidates(WaitingTask representative, List<WorkflowTask> tasks) {

        private String workflowId() {
            return tasks.get(0).workflow().id();
        }
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
        Map<String, WorkerIdentity> identities = new HashMap<>();
        workers.forEach(
                worker ->
                        identities.put(
                                workerKey(worker.report().getWorker()),
                                worker.report().getWorker()));
        Map<String, WorkerCapacity> capacities = workerCapacities(records, workers, estimates);
        List<Assignment> plan = new ArrayList<>();
        Set<String> runningWorkflowIds = runningWorkflowIds(records);
        boolean mostlyFree = isMostlyFree(capacities.values());
        for (WaitingTask waiting : order.order(List.copyOf(candidates.keySet()), nowMillis)) {
            StepCandidates step = candidates.get(waiting);
            boolean mayInterfere = mostlyFree && !runningWorkflowIds.contains(step.workflowId());
            List<Assignment> placed = place(step, mayInterfere, capacities.values(), identities);
            if (!placed.isEmpty()) {
                runningWorkflowIds.add(step.workflowId());
                plan.addAll(placed);
            }
        }
        return plan;
    }

    private static Map<String, WorkerCapacity> workerCapacities(
            WorkflowRecords records,
            Collection<AvailableWorker> workers,
            LearnedEstimates estimates) {
        Map<String, WorkerCapacity> capacities = new LinkedHashMap<>();
        for (AvailableWorker worker : workers) {
            String key = workerKey(worker.report().getWorker());
            WorkerCapacity capacity = workerCapacity(key, worker.report(), records, estimates);
            if (worker.circuitState() == WorkerCircuitBreaker.State.HALF_OPEN) {
                capacity.limitToProbe();
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
        return capacity.tryReserve(request, workerKey(task.worker().orElseThrow()));
    }

    /**
     * Places as many tasks of a step as the capacity allows, or a gang as a whole. If the selector
     * finds no worker and the step may interfere, one task is placed on the worker with the most
     * headroom.
     */
    private List<Assignment> place(
            StepCandidates step,
            boolean mayInterfere,
            Collection<WorkerCapacity> capacities,
            Map<String, WorkerIdentity> identities) {
        List<WorkflowTask> tasks = step.tasks();
        boolean gang = tasks.get(0).workflow().step(tasks.get(0).address().getStep()).getGang();
        List<WorkerCapacity> selected =
                selector.reserve(step.representative(), tasks.size(), capacities);
        if (gang && selected.size() < tasks.size()) {
            // The reservations are kept until the end of the round to prevent starvation of the
            // gang.
            return List.of();
        }
        if (selected.isEmpty() && mayInterfere) {
            selected = lastResortSelector.reserve(step.representative(), 1, capacities);
        }
        int gangAttempt = tasks.stream().mapToInt(WorkflowTask::latestAttempt).max().orElse(0) + 1;
        List<Assignment> placed = new ArrayList<>();
        for (int index = 0; index < selected.size(); index++) {
            WorkflowTask task = tasks.get(index);
            int attempt = gang ? gangAttempt : task.latestAttempt() + 1;
            placed.add(assignment(task, attempt, identities.get(selected.get(index).workerId())));
        }
        return placed;
    }

    private static Set<String> runningWorkflowIds(WorkflowRecords records) {
        Set<String> running = new HashSet<>();
        for (WorkerIdentity worker : records.workersWithOpenRuns()) {
            records.openRuns(worker).forEach(task -> running.add(task.address().getWorkflowId()));
        }
        return running;
    }

    /**
     * Returns whether more than half of the capacity is free. If so, no workflow should wait for a
     * worker with less interference.
     */
    private static boolean isMostlyFree(Collection<WorkerCapacity> capacities) {
        return capacities.stream().mapToDouble(WorkerCapacity::freeShare).sum()
                > capacities.size() / 2.0;
    }

    private static Assignment assignment(WorkflowTask task, int attempt, WorkerIdentity worker) {
        return Assignment.newBuilder()
                .setRun(RunAddress.newBuilder().setTask(task.address()).setAttempt(attempt))
                .setWorker(worker)
                .build();
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
                                .ifPresent(each -> found.put(each.representative(), each));
                    }
                }
            }
        }
        return found;
    }

    private static Optional<StepCandidates> stepCandidates(
            Workflow workflow, int occurrence, int number, WorkEstimator estimator) {
        List<WorkflowTask> tasks =
                workflow.tasks(occurrence, number).stream()
                        .filter(WorkflowTask::isWaiting)
                        .toList();
        StepDefinition step = workflow.step(number);
        boolean incompleteGang = step.getGang() && tasks.size() < step.getTaskCount();
        if (tasks.isEmpty() || incompleteGang) {
            return Optional.empty();
        }
        WaitingTask waiting = waitingTask(workflow, occurrence, number, tasks.get(0), estimator);
        return Optional.of(new StepCandidates(waiting, tasks));
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

    private static String workerKey(WorkerIdentity worker) {
        return worker.getWorkerId() + "/" + worker.getBornMillis();
    }
}
