package org.yuccabank.control.workflow;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.yuccabank.model.Resources;
import org.yuccabank.policy.workflow.LastResortChoice;
import org.yuccabank.policy.workflow.TaskOrder;
import org.yuccabank.policy.workflow.WaitingTask;
import org.yuccabank.policy.workflow.WorkerChoice;
import org.yuccabank.policy.workflow.WorkerRoom;
import org.yuccabank.policy.workflow.WorkerTrust;
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
 * Plans which waiting tasks start where, from the records and what the workers report.
 *
 * <p>Invariants: open runs count against the capacity of their worker until their end is recorded;
 * a task starts only when its occurrence is due and the steps before it are done; a gang starts as
 * a whole. Has no state of its own.
 */
final class WorkflowPlanner {

    private final TaskOrder order;
    private final WorkerChoice choice;
    private final WorkerChoice lastResort = new LastResortChoice();

    WorkflowPlanner(TaskOrder order, WorkerChoice choice) {
        this.order = order;
        this.choice = choice;
    }

    /** A waiting task with the record that it stands for. */
    private record Candidate(WaitingTask waiting, WorkflowTask task) {}

    /**
     * Plans assignments.
     *
     * @param records the replicated records
     * @param offers the workers that may get tasks
     * @param estimates what was learned from the runs so far
     * @param nowMillis present time, in milliseconds since 1970
     * @return the assignments, in the order of their importance
     */
    List<Assignment> plan(
            WorkflowRecords records,
            Collection<WorkerOffer> offers,
            LearnedEstimates estimates,
            long nowMillis) {
        Map<String, List<Candidate>> candidates = candidates(records, estimates, nowMillis);
        if (candidates.isEmpty() || offers.isEmpty()) {
            return List.of();
        }
        Map<String, WorkerIdentity> identities = new HashMap<>();
        Map<String, WorkerRoom> rooms = new LinkedHashMap<>();
        for (WorkerOffer offer : offers) {
            WorkerReport report = offer.report();
            String key = key(report.getWorker());
            identities.put(key, report.getWorker());
            WorkerRoom room = room(key, report, records, estimates);
            if (offer.standing() == WorkerTrust.Standing.PROBE) {
                room.limitToProbe();
            }
            rooms.put(key, room);
        }
        Map<WaitingTask, WorkflowTask> tasks =
                candidates.values().stream()
                        .flatMap(List::stream)
                        .collect(Collectors.toMap(Candidate::waiting, Candidate::task));
        List<Assignment> plan = new ArrayList<>();
        Map<String, List<WaitingTask>> gangs = new HashMap<>();
        Set<String> withoutRoom = new HashSet<>();
        Set<String> running = runningWorkflows(records);
        boolean mostlyFree = isMostlyFree(rooms.values());
        for (WaitingTask waiting : order.order(List.copyOf(tasks.keySet()), nowMillis)) {
            WorkflowTask task = tasks.get(waiting);
            StepDefinition step = task.workflow().step(task.address().getStep());
            if (step.getGang()) {
                List<WaitingTask> members =
                        gangs.computeIfAbsent(waiting.stepKey(), key -> new ArrayList<>());
                members.add(waiting);
                if (members.size() == step.getTaskCount()) {
                    plan.addAll(placeGang(members, tasks, rooms, identities));
                }
            } else if (!withoutRoom.contains(waiting.stepKey())) {
                String workflowId = task.address().getWorkflowId();
                Optional<String> key = place(waiting, rooms, choice);
                if (key.isEmpty() && mostlyFree && !running.contains(workflowId)) {
                    key = place(waiting, rooms, lastResort);
                }
                if (key.isPresent()) {
                    running.add(workflowId);
                    int attempt = task.attempts() + 1;
                    plan.add(assignment(task, attempt, identities.get(key.get())));
                } else {
                    // Rooms only shrink in a round, and the tasks of a step ask for the same.
                    withoutRoom.add(waiting.stepKey());
                }
            }
        }
        return plan;
    }

    private static Set<String> runningWorkflows(WorkflowRecords records) {
        Set<String> running = new HashSet<>();
        for (WorkerIdentity worker : records.workersWithOpenRuns()) {
            records.openRuns(worker).forEach(task -> running.add(task.address().getWorkflowId()));
        }
        return running;
    }

    /** With more than half of the room free, no workflow may wait for better neighbours. */
    private static boolean isMostlyFree(Collection<WorkerRoom> rooms) {
        return rooms.stream().mapToDouble(WorkerRoom::freeShare).sum() > rooms.size() / 2.0;
    }

    private static Optional<String> place(
            WaitingTask waiting, Map<String, WorkerRoom> rooms, WorkerChoice choice) {
        Optional<WorkerRoom> chosen = choice.choose(waiting, rooms.values());
        chosen.ifPresent(
                room -> room.reserve(waiting.stepKey(), waiting.resources(), waiting.load()));
        return chosen.map(WorkerRoom::workerId);
    }

    /** Reservations of a gang that does not fit stay until the end of the round. */
    private List<Assignment> placeGang(
            List<WaitingTask> members,
            Map<WaitingTask, WorkflowTask> tasks,
            Map<String, WorkerRoom> rooms,
            Map<String, WorkerIdentity> identities) {
        int attempt =
                members.stream().mapToInt(each -> tasks.get(each).attempts()).max().orElse(0) + 1;
        List<Assignment> placed = new ArrayList<>();
        for (WaitingTask member : members) {
            Optional<String> key = place(member, rooms, choice);
            if (key.isEmpty()) {
                return List.of();
            }
            placed.add(assignment(tasks.get(member), attempt, identities.get(key.get())));
        }
        return placed;
    }

    private static Assignment assignment(WorkflowTask task, int attempt, WorkerIdentity worker) {
        return Assignment.newBuilder()
                .setRun(RunAddress.newBuilder().setTask(task.address()).setAttempt(attempt))
                .setWorker(worker)
                .build();
    }

    private static Map<String, List<Candidate>> candidates(
            WorkflowRecords records, LearnedEstimates estimates, long nowMillis) {
        WorkMeter meter = WorkMeter.of(records, estimates::runTimeRatio);
        Map<String, List<Candidate>> found = new LinkedHashMap<>();
        for (Workflow workflow : records.workflows()) {
            if (workflow.isFinal()) {
                continue;
            }
            for (int occurrence = 0; occurrence < workflow.occurrenceCount(); occurrence++) {
                if (workflow.dueMillis(occurrence) > nowMillis) {
                    break;
                }
                for (int step : StepEstimates.steps(workflow)) {
                    if (!workflow.isDone(occurrence, step) && workflow.isReady(occurrence, step)) {
                        addWaiting(found, workflow, occurrence, step, meter);
                    }
                }
            }
        }
        return found;
    }

    private static void addWaiting(
            Map<String, List<Candidate>> found,
            Workflow workflow,
            int occurrence,
            int number,
            WorkMeter meter) {
        List<WorkflowTask> tasks = workflow.tasks(occurrence, number);
        StepDefinition step = workflow.step(number);
        boolean held = step.getGang() && tasks.stream().anyMatch(task -> task.worker().isPresent());
        if (held) {
            return;
        }
        String key = tasks.get(0).stepKey();
        long start = StepEstimates.startMillis(workflow, occurrence);
        double ratio = meter.ratio(workflow);
        long objective = StepEstimates.objectiveMillis(workflow, ratio);
        long remaining =
                Math.round(ratio * StepEstimates.remainingMillis(workflow.definition(), number));
        double density = meter.valueDensity(workflow, occurrence);
        WaitingTask.Load load = StepEstimates.load(step);
        WaitingTask.Constraints constraints =
                new WaitingTask.Constraints(
                        workflow.queue().getService(),
                        text(step.getRequiredLabel()),
                        text(step.getPreferredRack()),
                        step.getMostPerWorker());
        for (WorkflowTask task : tasks) {
            if (task.isWaiting()) {
                WaitingTask waiting =
                        new WaitingTask(
                                key,
                                task.address().getIndex(),
                                StepEstimates.resources(step),
                                load,
                                workflow.queue().getPriority(),
                                start + objective,
                                StepEstimates.lateMillis(workflow, occurrence, ratio),
                                step.getLasting() ? 0 : remaining,
                                density,
                                constraints);
                found.computeIfAbsent(key, each -> new ArrayList<>())
                        .add(new Candidate(waiting, task));
            }
        }
    }

    private static WorkerRoom room(
            String key, WorkerReport report, WorkflowRecords records, LearnedEstimates estimates) {
        ResourceVector capacity = report.getCapacity();
        WorkerRoom room =
                new WorkerRoom(
                        key,
                        report.getService(),
                        report.getRack(),
                        Set.copyOf(report.getLabelsList()),
                        Resources.of(
                                capacity.getProcessorMillis(),
                                capacity.getMemoryMebibytes(),
                                capacity.getAccelerators()),
                        estimates.pressures());
        estimates.bearablePressures(report.getWorker().getWorkerId()).forEach(room::bear);
        for (WorkflowTask task : records.openRuns(report.getWorker())) {
            int number = task.address().getStep();
            StepDefinition step = task.workflow().step(number);
            room.reserve(task.stepKey(), StepEstimates.resources(step), StepEstimates.load(step));
        }
        return room;
    }

    private static Optional<String> text(String value) {
        return value.isEmpty() ? Optional.empty() : Optional.of(value);
    }

    private static String key(WorkerIdentity worker) {
        return worker.getWorkerId() + "/" + worker.getBornMillis();
    }
}
