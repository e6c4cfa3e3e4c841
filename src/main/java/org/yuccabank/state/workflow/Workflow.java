package org.yuccabank.state.workflow;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.function.IntToDoubleFunction;
import java.util.function.IntUnaryOperator;
import org.yuccabank.protocol.generated.QueueDefinition;
import org.yuccabank.protocol.generated.StepDefinition;
import org.yuccabank.protocol.generated.TaskAddress;
import org.yuccabank.protocol.generated.WorkflowDefinition;
import org.yuccabank.protocol.generated.WorkflowPhase;
import org.yuccabank.state.generated.WorkflowRecord;
import org.yuccabank.state.generated.WorkflowTaskRecord;

/**
 * A workflow of dependent steps, each with one or more tasks, that runs in one or several
 * occurrences.
 *
 * <p>Invariants: the definition and the queue never change after the workflow is accepted; a final
 * phase never changes; a step is ready only when every task of the steps that it depends on is
 * done. Confined to the replica thread.
 */
public final class Workflow {

    /** Number of millicore-milliseconds in a core-second. */
    private static final double MILLICORE_MILLIS_PER_CORE_SECOND = 1_000_000.0;

    private final WorkflowDefinition definition;
    private final QueueDefinition queue;
    private final double declaredCoreSeconds;
    private final long acceptedAtMillis;
    private final List<Occurrence> occurrences = new ArrayList<>();
    private WorkflowPhase phase = WorkflowPhase.WORKFLOW_QUEUED;
    private boolean started;
    private long endedAtMillis;

    /** The tasks of one occurrence, by step and index. */
    private static final class Occurrence {

        private final WorkflowTask[][] tasks;
        private final int[] doneTasks;

        private Occurrence(Workflow workflow, int number) {
            int steps = workflow.definition.getStepsCount();
            tasks = new WorkflowTask[steps][];
            doneTasks = new int[steps];
            for (int step = 0; step < steps; step++) {
                tasks[step] = new WorkflowTask[workflow.step(step).getTaskCount()];
                String stepKey = workflow.stepKey(number, step);
                for (int index = 0; index < tasks[step].length; index++) {
                    TaskAddress address =
                            TaskAddress.newBuilder()
                                    .setWorkflowId(workflow.id())
                                    .setOccurrence(number)
                                    .setStep(step)
                                    .setIndex(index)
                                    .build();
                    tasks[step][index] = new WorkflowTask(workflow, address, stepKey);
                }
            }
        }
    }

    Workflow(WorkflowDefinition definition, QueueDefinition queue, long acceptedAtMillis) {
        this.definition = definition;
        this.queue = queue;
        this.acceptedAtMillis = acceptedAtMillis;
        this.declaredCoreSeconds =
                coreSeconds(
                        definition,
                        step -> step(step).getTaskCount(),
                        step -> step(step).getEstimatedMillis());
        for (int number = 0; number < occurrenceCount(); number++) {
            occurrences.add(new Occurrence(this, number));
        }
    }

    /**
     * Returns the identifier chosen by the client.
     *
     * @return the identifier
     */
    public String id() {
        return definition.getWorkflowId();
    }

    /**
     * Returns the definition that the client submitted.
     *
     * @return the definition
     */
    public WorkflowDefinition definition() {
        return definition;
    }

    /**
     * Returns the queue as it was configured when the workflow was accepted.
     *
     * @return the queue
     */
    public QueueDefinition queue() {
        return queue;
    }

    /**
     * Returns the time at which the workflow was accepted, by the clock of the leader at that time.
     *
     * @return milliseconds since the epoch
     */
    public long acceptedAtMillis() {
        return acceptedAtMillis;
    }

    /**
     * Returns the current phase.
     *
     * @return the phase
     */
    public WorkflowPhase phase() {
        return phase;
    }

    /**
     * Returns whether the workflow is in a final phase, in which no further task may start.
     *
     * @return true once completed, failed or cancelled
     */
    public boolean isFinal() {
        return phase == WorkflowPhase.WORKFLOW_COMPLETED
                || phase == WorkflowPhase.WORKFLOW_FAILED
                || phase == WorkflowPhase.WORKFLOW_CANCELLED;
    }

    /**
     * Returns the time at which the workflow reached its final phase.
     *
     * @return milliseconds since the epoch, 0 before that
     */
    public long endedAtMillis() {
        return endedAtMillis;
    }

    /**
     * Returns the number of occurrences.
     *
     * @return the count, at least 1
     */
    public int occurrenceCount() {
        return Math.max(1, definition.getOccurrences());
    }

    /**
     * Returns the time at which an occurrence is due.
     *
     * @param occurrence number of the occurrence
     * @return milliseconds since the epoch; 0 if the workflow has no schedule
     */
    public long dueMillis(int occurrence) {
        return definition.getOccurrences() == 0
                ? 0
                : definition.getFirstDueMillis() + occurrence * definition.getIntervalMillis();
    }

    /**
     * Returns a step.
     *
     * @param number number of the step
     * @return its definition
     */
    public StepDefinition step(int number) {
        return definition.getSteps(number);
    }

    /**
     * Returns a key that identifies a step of one occurrence among all workflows.
     *
     * @param occurrence number of the occurrence
     * @param number number of the step
     * @return the key
     */
    public String stepKey(int occurrence, int number) {
        return id() + "." + occurrence + "." + number;
    }

    /**
     * Returns whether all steps that a step depends on are done.
     *
     * @param occurrence number of the occurrence
     * @param number number of the step
     * @return true if the tasks of the step may start
     */
    public boolean isReady(int occurrence, int number) {
        return step(number).getDependsOnList().stream()
                .allMatch(dependency -> isDone(occurrence, dependency));
    }

    /**
     * Returns whether all tasks of a step are done.
     *
     * @param occurrence number of the occurrence
     * @param number number of the step
     * @return true if no task is left
     */
    public boolean isDone(int occurrence, int number) {
        return occurrences.get(occurrence).doneTasks[number] == step(number).getTaskCount();
    }

    /**
     * Returns the number of tasks of a step that are not done.
     *
     * @param occurrence number of the occurrence
     * @param number number of the step
     * @return the number, including running tasks
     */
    public int remainingTasks(int occurrence, int number) {
        return step(number).getTaskCount() - occurrences.get(occurrence).doneTasks[number];
    }

    /**
     * Returns the work of one occurrence according to the declared estimates.
     *
     * @return core-seconds
     */
    public double declaredCoreSeconds() {
        return declaredCoreSeconds;
    }

    /**
     * Returns the work of some tasks of each step of a definition.
     *
     * @param definition the definition
     * @param tasks number of tasks of each step
     * @param runMillis duration of the run of a task of each step
     * @return core-seconds
     */
    public static double coreSeconds(
            WorkflowDefinition definition, IntUnaryOperator tasks, IntToDoubleFunction runMillis) {
        double work = 0;
        for (int step = 0; step < definition.getStepsCount(); step++) {
            double taskMillicoreMillis =
                    definition.getSteps(step).getResources().getProcessorMillis()
                            * runMillis.applyAsDouble(step);
            work += tasks.applyAsInt(step) * taskMillicoreMillis / MILLICORE_MILLIS_PER_CORE_SECOND;
        }
        return work;
    }

    /**
     * Returns the tasks of a step.
     *
     * @param occurrence number of the occurrence
     * @param number number of the step
     * @return the tasks by index
     */
    public List<WorkflowTask> tasks(int occurrence, int number) {
        return Collections.unmodifiableList(
                Arrays.asList(occurrences.get(occurrence).tasks[number]));
    }

    /**
     * Returns a task.
     *
     * @param address address of the task
     * @return the task, empty if the workflow has no such task
     */
    public Optional<WorkflowTask> task(TaskAddress address) {
        if (address.getOccurrence() >= occurrenceCount()
                || address.getStep() >= definition.getStepsCount()
                || address.getIndex() >= step(address.getStep()).getTaskCount()) {
            return Optional.empty();
        }
        Occurrence occurrence = occurrences.get(address.getOccurrence());
        return Optional.of(occurrence.tasks[address.getStep()][address.getIndex()]);
    }

    /**
     * Returns the tasks of all occurrences.
     *
     * @return the tasks
     */
    public List<WorkflowTask> allTasks() {
        List<WorkflowTask> all = new ArrayList<>();
        for (Occurrence occurrence : occurrences) {
            for (WorkflowTask[] step : occurrence.tasks) {
                all.addAll(List.of(step));
            }
        }
        return all;
    }

    /**
     * Returns whether the end of a run has shown that a task had started.
     *
     * @return false if no task has started, or if none that has started has ended
     */
    public boolean hasStarted() {
        return started;
    }

    /** Records that a run has ended that had started. */
    void markStarted() {
        started = true;
    }

    /** Records that a run was assigned. */
    void markAssigned() {
        if (phase == WorkflowPhase.WORKFLOW_QUEUED) {
            phase = WorkflowPhase.WORKFLOW_ACTIVE;
        }
    }

    void markTaskDone(TaskAddress address, long nowMillis) {
        occurrences.get(address.getOccurrence()).doneTasks[address.getStep()]++;
        boolean allDone = true;
        for (int number = 0; number < occurrenceCount(); number++) {
            for (int step = 0; step < definition.getStepsCount(); step++) {
                allDone &= isDone(number, step);
            }
        }
        if (allDone) {
            end(WorkflowPhase.WORKFLOW_COMPLETED, nowMillis);
        }
    }

    void end(WorkflowPhase finalPhase, long nowMillis) {
        if (!isFinal()) {
            phase = finalPhase;
            endedAtMillis = nowMillis;
        }
    }

    WorkflowRecord toRecord() {
        WorkflowRecord.Builder record =
                WorkflowRecord.newBuilder()
                        .setDefinition(definition)
                        .setQueue(queue)
                        .setAcceptedAtMillis(acceptedAtMillis)
                        .setPhase(phase)
                        .setStarted(started)
                        .setEndedAtMillis(endedAtMillis);
        for (WorkflowTask task : allTasks()) {
            if (task.latestAttempt() > 0) {
                record.addTasks(task.toRecord());
            }
        }
        return record.build();
    }

    static Workflow fromRecord(WorkflowRecord record) {
        Workflow workflow =
                new Workflow(
                        record.getDefinition(), record.getQueue(), record.getAcceptedAtMillis());
        for (WorkflowTaskRecord task : record.getTasksList()) {
            workflow.task(task.getAddress()).orElseThrow().restore(task);
            if (task.getDone()) {
                TaskAddress address = task.getAddress();
                workflow.occurrences.get(address.getOccurrence()).doneTasks[address.getStep()]++;
            }
        }
        workflow.phase = record.getPhase();
        workflow.started = record.getStarted();
        workflow.endedAtMillis = record.getEndedAtMillis();
        return workflow;
    }
}
