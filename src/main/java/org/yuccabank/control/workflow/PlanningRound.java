package org.yuccabank.control.workflow;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import org.yuccabank.policy.workflow.CrashIsolation;
import org.yuccabank.policy.workflow.MaximumHeadroomSelector;
import org.yuccabank.policy.workflow.WaitingTask;
import org.yuccabank.policy.workflow.WorkerCapacity;
import org.yuccabank.policy.workflow.WorkerSelector;
import org.yuccabank.protocol.generated.Assignment;
import org.yuccabank.protocol.generated.RunAddress;
import org.yuccabank.protocol.generated.WorkerIdentity;
import org.yuccabank.state.workflow.WorkflowRecords;
import org.yuccabank.state.workflow.WorkflowTask;

/**
 * Places the waiting tasks of one planning round on the capacity of the workers.
 *
 * <p>Invariants: no placement exceeds the capacity that earlier ones have left; a gang is placed as
 * a whole; a worker that starts suspected tasks gets no others; capacity is held back only for a
 * gang that fits once tasks end, and with short breaks while much of it is free. Not thread-safe.
 */
final class PlanningRound {

    /**
     * Share of the capacity of a service above which none of its workflows should wait for a worker
     * with less interference. Less than a half, as runs that have just ended still count as
     * reserved.
     */
    private static final double MOSTLY_FREE_SHARE = 0.4;

    /**
     * Period in which capacity of a mostly free service is held back for gangs once and left to
     * others once. Half of it is less than the 3 s that a workflow may wait beside free capacity.
     */
    private static final long HOLD_PERIOD_MILLIS = 3_000;

    private final WorkerSelector selector;
    private final WorkerSelector lastResortSelector = new MaximumHeadroomSelector();
    private final List<WorkerCapacity> capacities;
    private final Map<String, WorkerIdentity> identities = new HashMap<>();
    private final CrashIsolation isolation;
    private final Set<String> runningWorkflowIds;
    private final Set<String> mostlyFreeServices;
    private final long nowMillis;
    private final List<Assignment> plan = new ArrayList<>();

    /**
     * Creates a round.
     *
     * @param selector selects the workers
     * @param records the replicated workflow records
     * @param workers the available workers
     * @param capacities what the open runs leave of their capacity
     * @param isolation keeps suspected tasks apart
     * @param nowMillis current time, in milliseconds since the epoch
     */
    PlanningRound(
            WorkerSelector selector,
            WorkflowRecords records,
            Collection<AvailableWorker> workers,
            Collection<WorkerCapacity> capacities,
            CrashIsolation isolation,
            long nowMillis) {
        this.selector = selector;
        this.capacities = List.copyOf(capacities);
        this.isolation = isolation;
        workers.forEach(worker -> identities.put(worker.key(), worker.report().getWorker()));
        runningWorkflowIds = runningWorkflowIds(records);
        mostlyFreeServices =
                capacities.stream()
                        .collect(Collectors.groupingBy(WorkerCapacity::service))
                        .entrySet()
                        .stream()
                        .filter(each -> isMostlyFree(each.getValue()))
                        .map(Map.Entry::getKey)
                        .collect(Collectors.toSet());
        this.nowMillis = nowMillis;
    }

    /** Returns the assignments in the order of their placement. */
    List<Assignment> plan() {
        return plan;
    }

    private static Set<String> runningWorkflowIds(WorkflowRecords records) {
        Set<String> running = new HashSet<>();
        for (WorkerIdentity worker : records.workersWithOpenRuns()) {
            records.openRuns(worker).forEach(task -> running.add(task.address().getWorkflowId()));
        }
        return running;
    }

    /** Returns whether the free share of the capacity exceeds {@link #MOSTLY_FREE_SHARE}. */
    private static boolean isMostlyFree(Collection<WorkerCapacity> capacities) {
        return capacities.stream().mapToDouble(WorkerCapacity::freeShare).sum()
                > MOSTLY_FREE_SHARE * capacities.size();
    }

    /** Places as many tasks of a step as the capacity allows, or a gang as a whole. */
    void place(StepCandidates step) {
        List<WorkerCapacity> open =
                capacities.stream()
                        .filter(worker -> isolation.admitsOthers(worker.workerId()))
                        .toList();
        List<WorkerCapacity> selected = reserve(step, step.tasks().size(), open);
        selected.forEach(worker -> isolation.addUnstableRun(worker.workerId(), false));
        assign(step, step.tasks(), selected);
    }

    /**
     * Places tasks that may crash their worker, each group on a worker without other recent starts.
     * The tasks of a step share a worker, as they belong to the same workflow.
     */
    void placeSuspects(StepCandidates step) {
        int placed = step.isGang() ? placeSuspectGang(step) : placeSuspectTasks(step);
        if (placed < step.tasks().size()) {
            Predicate<WorkerCapacity> admits =
                    worker -> selector.select(step.representative(), List.of(worker)).isPresent();
            int wanted = step.isGang() ? step.tasks().size() : 1;
            for (int count = 0; count < wanted; count++) {
                isolation.holdBackWorker(capacities, admits);
            }
        }
    }

    private int placeSuspectGang(StepCandidates step) {
        List<WorkerCapacity> selected =
                reserve(step, step.tasks().size(), isolation.suspectWorkers(capacities));
        return assignSuspects(step, step.tasks(), selected);
    }

    private int placeSuspectTasks(StepCandidates step) {
        int placed = 0;
        for (WorkerCapacity worker : isolation.suspectWorkers(capacities)) {
            List<WorkflowTask> left = step.tasks().subList(placed, step.tasks().size());
            if (left.isEmpty() || isolation.suspectWorkers(List.of(worker)).isEmpty()) {
                break;
            }
            placed += assignSuspects(step, left, reserve(step, left.size(), List.of(worker)));
        }
        return placed;
    }

    private int assignSuspects(
            StepCandidates step, List<WorkflowTask> tasks, List<WorkerCapacity> selected) {
        selected.forEach(worker -> isolation.recordSuspectStart(worker.workerId()));
        assign(step, tasks, selected);
        return selected.size();
    }

    /**
     * Reserves capacity for tasks of a step, for a gang only if there is enough for all or if
     * capacity may be held back for it. If the selector finds no worker and the step may interfere,
     * one task goes to the worker with the most headroom.
     */
    private List<WorkerCapacity> reserve(
            StepCandidates step, int count, List<WorkerCapacity> candidates) {
        if (step.isGang() && !mayHoldBack(step, count) && !fits(step, count, candidates)) {
            return List.of();
        }
        List<WorkerCapacity> selected = selector.reserve(step.representative(), count, candidates);
        if (step.isGang() && selected.size() < count) {
            // The reservations are kept until the end of the round to prevent starvation of the
            // gang.
            return List.of();
        }
        boolean mayInterfere =
                isServiceMostlyFree(step) && !runningWorkflowIds.contains(step.workflowId());
        return selected.isEmpty() && mayInterfere
                ? lastResortSelector.reserve(step.representative(), 1, candidates)
                : selected;
    }

    /** Returns whether the service of a step is mostly free, however busy the others are. */
    private boolean isServiceMostlyFree(StepCandidates step) {
        return mostlyFreeServices.contains(step.representative().constraints().service());
    }

    private boolean fits(StepCandidates step, int count, List<WorkerCapacity> candidates) {
        List<WorkerCapacity> copies = candidates.stream().map(WorkerCapacity::copy).toList();
        return selector.reserve(step.representative(), count, copies).size() == count;
    }

    /**
     * Returns whether capacity may be held back for a gang that does not fit: it would fit if all
     * tasks ended that do not last, and its service is not mostly free or it is the turn of gangs.
     */
    private boolean mayHoldBack(StepCandidates step, int count) {
        WaitingTask task = step.representative();
        if (isServiceMostlyFree(step) && nowMillis % HOLD_PERIOD_MILLIS >= HOLD_PERIOD_MILLIS / 2) {
            return false;
        }
        int room = 0;
        for (WorkerCapacity worker : capacities) {
            if (room < count) {
                room += worker.roomWhenEmpty(task, count - room);
            }
        }
        return room >= count;
    }

    private void assign(
            StepCandidates step, List<WorkflowTask> tasks, List<WorkerCapacity> selected) {
        int gangAttempt = tasks.stream().mapToInt(WorkflowTask::latestAttempt).max().orElse(0) + 1;
        for (int index = 0; index < selected.size(); index++) {
            WorkflowTask task = tasks.get(index);
            int attempt = step.isGang() ? gangAttempt : task.latestAttempt() + 1;
            plan.add(assignment(task, attempt, identities.get(selected.get(index).workerId())));
        }
        if (!selected.isEmpty()) {
            runningWorkflowIds.add(step.workflowId());
        }
    }

    private static Assignment assignment(WorkflowTask task, int attempt, WorkerIdentity worker) {
        return Assignment.newBuilder()
                .setRun(RunAddress.newBuilder().setTask(task.address()).setAttempt(attempt))
                .setWorker(worker)
                .build();
    }
}
