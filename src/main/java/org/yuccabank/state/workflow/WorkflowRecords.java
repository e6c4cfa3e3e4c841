package org.yuccabank.state.workflow;

import java.util.Collection;
import java.util.Collections;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import org.yuccabank.protocol.generated.AcceptWorkflow;
import org.yuccabank.protocol.generated.Assignment;
import org.yuccabank.protocol.generated.EndedRun;
import org.yuccabank.protocol.generated.FleetConfiguration;
import org.yuccabank.protocol.generated.LearnedState;
import org.yuccabank.protocol.generated.RunAddress;
import org.yuccabank.protocol.generated.RunEnding;
import org.yuccabank.protocol.generated.SchedulingRound;
import org.yuccabank.protocol.generated.TaskAddress;
import org.yuccabank.protocol.generated.WorkerIdentity;
import org.yuccabank.protocol.generated.WorkflowCommand;
import org.yuccabank.protocol.generated.WorkflowDefinition;
import org.yuccabank.protocol.generated.WorkflowPhase;
import org.yuccabank.state.generated.CountedCrash;
import org.yuccabank.state.generated.EarlyCancellation;
import org.yuccabank.state.generated.WorkflowRecord;

/**
 * The replicated records of the queue configuration and all workflows.
 *
 * <p>Invariants: the version of the configuration never decreases, and other content under the same
 * version changes nothing; an identifier refers to a single workflow even if it is submitted
 * repeatedly; a workflow is not accepted after its cancellation; the end of a run is counted once,
 * except that a run may turn out to have been done before the next one is opened; a run of a final
 * workflow is never opened; the workflow of a task that crashes its workers ends with the round
 * that records the crash. Confined to the replica thread.
 */
public final class WorkflowRecords {

    /**
     * Confirmed crashes in log entries of older releases after which a task is given up if it was
     * the only suspect of one.
     */
    private static final int CONFIRMED_CRASHES = 2;

    /** Crashes in log entries of older releases after which a task is given up in any case. */
    private static final int MAXIMUM_CRASHES = 3;

    /** Endings that only a run can have that has started. */
    private static final Set<RunEnding> STARTED_ENDINGS =
            EnumSet.of(
                    RunEnding.RUN_DONE,
                    RunEnding.RUN_FAILED,
                    RunEnding.RUN_STOPPED,
                    RunEnding.RUN_LEASE_EXPIRED,
                    RunEnding.RUN_MEMBER_ENDED,
                    RunEnding.RUN_LEFT_ALONE,
                    RunEnding.RUN_OUTCOME_UNKNOWN);

    private final Map<String, Workflow> workflows = new LinkedHashMap<>();
    private final Map<String, Workflow> liveWorkflows = new LinkedHashMap<>();
    private final Map<String, QueueWork> queueWork = new HashMap<>();
    private final Map<WorkerIdentity, Set<WorkflowTask>> openRuns = new HashMap<>();
    private final EarlyCancellations earlyCancellations = new EarlyCancellations();
    private FleetConfiguration configuration = FleetConfiguration.getDefaultInstance();
    private LearnedState learned = LearnedState.getDefaultInstance();
    private long liveElements;
    private long retainedElements;

    /** Declared work of the retained workflows of one queue. */
    private static final class QueueWork {
        private double coreSeconds;
        private int workflows;
    }

    /**
     * Returns the configuration in force.
     *
     * @return the configuration, empty before the first one
     */
    public Optional<FleetConfiguration> configuration() {
        return configuration.getVersion() == 0 ? Optional.empty() : Optional.of(configuration);
    }

    /**
     * Returns a workflow.
     *
     * @param workflowId its identifier
     * @return the workflow, empty if it is unknown
     */
    public Optional<Workflow> workflow(String workflowId) {
        return Optional.ofNullable(workflows.get(workflowId));
    }

    /**
     * Returns whether a workflow was cancelled before any submission of it arrived. Such a workflow
     * is not accepted for as long as a submission may have been under way.
     *
     * @param workflowId its identifier
     * @param nowMillis current time in milliseconds since the epoch
     * @return true if a submission is too late
     */
    public boolean isCancelledEarly(String workflowId, long nowMillis) {
        return earlyCancellations.contains(workflowId, nowMillis);
    }

    /**
     * Returns all workflows.
     *
     * @return the workflows in order of acceptance
     */
    public Collection<Workflow> workflows() {
        return Collections.unmodifiableCollection(workflows.values());
    }

    /**
     * Returns the workflows whose tasks may still start.
     *
     * @return the workflows without a final phase in order of acceptance
     */
    public Collection<Workflow> liveWorkflows() {
        return Collections.unmodifiableCollection(liveWorkflows.values());
    }

    /**
     * Returns whether a workflow can be added without exhausting the memory of the replicas or the
     * time of a planning round.
     *
     * @param definition the definition of the workflow
     * @return false if it has to wait until others have ended or are forgotten
     */
    public boolean hasRoomFor(WorkflowDefinition definition) {
        long elements = WorkflowLimits.elements(definition);
        return liveElements + elements <= WorkflowLimits.MAXIMUM_LIVE_ELEMENTS
                && retainedElements + elements <= WorkflowLimits.MAXIMUM_RETAINED_ELEMENTS;
    }

    /**
     * Returns the mean work of the retained workflows of a queue according to their declared
     * estimates.
     *
     * @param queueName the queue
     * @return core-seconds, empty if there is no such workflow
     */
    public OptionalDouble meanCoreSeconds(String queueName) {
        QueueWork work = queueWork.get(queueName);
        return work == null || work.workflows == 0
                ? OptionalDouble.empty()
                : OptionalDouble.of(work.coreSeconds / work.workflows);
    }

    /**
     * Returns the tasks whose open run is on a worker.
     *
     * @param worker the worker
     * @return the tasks
     */
    public Set<WorkflowTask> openRuns(WorkerIdentity worker) {
        return Collections.unmodifiableSet(openRuns.getOrDefault(worker, Set.of()));
    }

    /**
     * Returns the workers that have open runs.
     *
     * @return the workers
     */
    public Set<WorkerIdentity> workersWithOpenRuns() {
        return Collections.unmodifiableSet(openRuns.keySet());
    }

    /**
     * Returns the task of an open run.
     *
     * @param run address of the run
     * @return the task, empty if this run is not open
     */
    public Optional<WorkflowTask> openRun(RunAddress run) {
        return workflow(run.getTask().getWorkflowId())
                .flatMap(workflow -> workflow.task(run.getTask()))
                .filter(task -> task.worker().isPresent())
                .filter(task -> task.latestAttempt() == run.getAttempt());
    }

    /**
     * Returns the task whose latest run has ended otherwise than done, if it may be completed by a
     * late report that this run was done after all. A lasting task is never done.
     *
     * @param run address of the run
     * @return the task, empty if it does not wait for the run after this one
     */
    public Optional<WorkflowTask> taskWaitingAfter(RunAddress run) {
        return workflow(run.getTask().getWorkflowId())
                .filter(workflow -> !workflow.isFinal())
                .flatMap(workflow -> workflow.task(run.getTask()))
                .filter(WorkflowTask::isWaiting)
                .filter(task -> task.latestAttempt() == run.getAttempt())
                .filter(task -> !task.workflow().step(task.address().getStep()).getLasting());
    }

    /**
     * Applies a committed command.
     *
     * @param command the command
     * @param nowMillis time assigned by the leader, in milliseconds since the epoch
     */
    public void apply(WorkflowCommand command, long nowMillis) {
        switch (command.getCommandCase()) {
            case ACCEPT -> accept(command.getAccept(), nowMillis);
            case CANCEL -> cancel(command.getCancel().getWorkflowId(), nowMillis);
            case CONFIGURATION -> replaceConfiguration(command.getConfiguration());
            case ROUND -> applyRound(command.getRound(), nowMillis);
            case LEARNED -> learned = command.getLearned();
            default -> {
                // Unknown commands of later releases are ignored.
            }
        }
    }

    private void accept(AcceptWorkflow accept, long nowMillis) {
        String workflowId = accept.getDefinition().getWorkflowId();
        if (!workflows.containsKey(workflowId)
                && !earlyCancellations.contains(workflowId, nowMillis)) {
            add(new Workflow(accept.getDefinition(), accept.getQueue(), nowMillis));
        }
    }

    private void add(Workflow workflow) {
        workflows.put(workflow.id(), workflow);
        QueueWork work =
                queueWork.computeIfAbsent(workflow.queue().getName(), name -> new QueueWork());
        work.coreSeconds += workflow.declaredCoreSeconds();
        work.workflows++;
        long elements = WorkflowLimits.elements(workflow.definition());
        retainedElements += elements;
        if (!workflow.isFinal()) {
            liveWorkflows.put(workflow.id(), workflow);
            liveElements += elements;
        }
    }

    private void cancel(String workflowId, long nowMillis) {
        Workflow workflow = workflows.get(workflowId);
        if (workflow == null) {
            earlyCancellations.record(workflowId, nowMillis);
        } else {
            workflow.end(WorkflowPhase.WORKFLOW_CANCELLED, nowMillis);
            removeFromLiveIfFinal(workflow);
        }
    }

    private void removeFromLiveIfFinal(Workflow workflow) {
        if (workflow.isFinal() && liveWorkflows.remove(workflow.id()) != null) {
            liveElements -= WorkflowLimits.elements(workflow.definition());
        }
    }

    private void replaceConfiguration(FleetConfiguration replacement) {
        if (replacement.getVersion() > configuration.getVersion()) {
            configuration = replacement;
        }
    }

    private void applyRound(SchedulingRound round, long nowMillis) {
        round.getEndedList().forEach(ended -> end(ended, nowMillis));
        round.getAssignedList().forEach(this::assign);
        round.getForgottenList().forEach(this::removeForgotten);
    }

    private void end(EndedRun ended, long nowMillis) {
        Optional<WorkflowTask> open = openRun(ended.getRun());
        if (open.isEmpty()) {
            endLate(ended, nowMillis);
            return;
        }
        WorkflowTask task = open.get();
        WorkerIdentity worker = task.worker().orElseThrow();
        removeOpenRun(task);
        boolean success = ended.getEnding() == RunEnding.RUN_DONE;
        boolean failed = ended.getEnding() == RunEnding.RUN_FAILED;
        task.end(failed && !isFailureCounted(task, ended), ended.getCheckpoint());
        if (failed && ended.getOncePerGangRun()) {
            task.recordGangFailure();
        }
        Workflow workflow = task.workflow();
        if (STARTED_ENDINGS.contains(ended.getEnding())) {
            workflow.markStarted();
        }
        if (success) {
            markDone(task, nowMillis);
        }
        updateCrashes(task, worker, ended);
        if ((failed && areAttemptsExhausted(task)) || isGivenUp(task)) {
            workflow.end(WorkflowPhase.WORKFLOW_FAILED, nowMillis);
        }
        removeFromLiveIfFinal(workflow);
    }

    /** Completes a task whose run was done although it has been ended otherwise before. */
    private void endLate(EndedRun ended, long nowMillis) {
        if (!ended.getLate() || ended.getEnding() != RunEnding.RUN_DONE) {
            return;
        }
        taskWaitingAfter(ended.getRun())
                .ifPresent(
                        task -> {
                            task.workflow().markStarted();
                            markDone(task, nowMillis);
                            removeFromLiveIfFinal(task.workflow());
                        });
    }

    /**
     * Marks a task as done, or all members of its gang, as they work only together: the end of one
     * represents those of the others, which may be lost with their workers.
     */
    private static void markDone(WorkflowTask task, long nowMillis) {
        Workflow workflow = task.workflow();
        TaskAddress address = task.address();
        List<WorkflowTask> done =
                workflow.step(address.getStep()).getGang()
                        ? workflow.tasks(address.getOccurrence(), address.getStep())
                        : List.of(task);
        for (WorkflowTask each : done) {
            if (each.markDone()) {
                workflow.markTaskDone(each.address(), nowMillis);
            }
        }
    }

    private static void updateCrashes(WorkflowTask task, WorkerIdentity worker, EndedRun ended) {
        if (ended.getEnding() == RunEnding.RUN_WORKER_CRASHED && ended.hasOtherWorkerCrashes()) {
            String host = worker.getHostId().isEmpty() ? worker.getWorkerId() : worker.getHostId();
            task.recordCrash(
                    CountedCrash.newBuilder()
                            .setHostId(host)
                            .setSoleSuspect(ended.getSoleSuspect())
                            .setUncertainStart(ended.getUncertainStart())
                            .setOtherWorkerCrashes(ended.getOtherWorkerCrashes())
                            .setInconclusive(ended.getInconclusive())
                            .build());
        } else if (ended.getEnding() == RunEnding.RUN_WORKER_CRASHED) {
            task.recordCrash(!ended.getUncertainStart(), ended.getSoleSuspect());
        } else if (ended.getStable() || ended.getEnding() == RunEnding.RUN_FAILED) {
            task.clearCrashes();
        }
    }

    /**
     * Returns whether a task is no longer started because it crashes its workers.
     *
     * @param task the task
     * @return true if its workflow fails for this reason
     */
    public static boolean isGivenUp(WorkflowTask task) {
        int older = task.crashes() - task.countedCrashes().size();
        return CrashVerdict.isCause(task.countedCrashes())
                || older >= MAXIMUM_CRASHES
                || (task.confirmedCrashes() >= CONFIRMED_CRASHES && task.isSoleSuspect());
    }

    /**
     * Returns whether a task has used up its attempts. The failures of a gang are added up, as the
     * failure of one member ends all of them.
     */
    private static boolean areAttemptsExhausted(WorkflowTask task) {
        Workflow workflow = task.workflow();
        TaskAddress address = task.address();
        if (workflow.step(address.getStep()).getLasting()) {
            return false;
        }
        int failures = task.failures();
        if (workflow.step(address.getStep()).getGang()) {
            failures =
                    workflow.tasks(address.getOccurrence(), address.getStep()).stream()
                            .mapToInt(WorkflowTask::failures)
                            .sum();
        }
        return failures >= Math.max(1, workflow.queue().getMostAttempts());
    }

    /** Returns whether the failure of another member of the same run of a gang was counted. */
    private static boolean isFailureCounted(WorkflowTask task, EndedRun ended) {
        TaskAddress address = task.address();
        Workflow workflow = task.workflow();
        return ended.getOncePerGangRun()
                && workflow.step(address.getStep()).getGang()
                && workflow.tasks(address.getOccurrence(), address.getStep()).stream()
                        .anyMatch(each -> each.isGangFailureOf(ended.getRun().getAttempt()));
    }

    private void removeOpenRun(WorkflowTask task) {
        WorkerIdentity worker = task.worker().orElseThrow();
        Set<WorkflowTask> tasks = openRuns.get(worker);
        tasks.remove(task);
        if (tasks.isEmpty()) {
            openRuns.remove(worker);
        }
    }

    private void assign(Assignment assignment) {
        TaskAddress address = assignment.getRun().getTask();
        Optional<WorkflowTask> found =
                workflow(address.getWorkflowId())
                        .filter(workflow -> !workflow.isFinal())
                        .flatMap(workflow -> workflow.task(address))
                        .filter(WorkflowTask::isWaiting)
                        .filter(task -> assignment.getRun().getAttempt() > task.latestAttempt());
        found.ifPresent(
                task -> {
                    task.assign(assignment.getRun().getAttempt(), assignment.getWorker());
                    task.workflow().markAssigned();
                    addOpenRun(task);
                });
    }

    private void addOpenRun(WorkflowTask task) {
        openRuns.computeIfAbsent(task.worker().orElseThrow(), key -> new LinkedHashSet<>())
                .add(task);
    }

    private void removeForgotten(String workflowId) {
        Workflow workflow = workflows.get(workflowId);
        boolean open =
                workflow != null
                        && workflow.allTasks().stream().anyMatch(each -> each.worker().isPresent());
        if (workflow != null && workflow.isFinal() && !open) {
            workflows.remove(workflowId);
            retainedElements -= WorkflowLimits.elements(workflow.definition());
            QueueWork work = queueWork.get(workflow.queue().getName());
            work.coreSeconds -= workflow.declaredCoreSeconds();
            work.workflows--;
        }
    }

    /**
     * Returns what the latest leader to record it has learned from runs.
     *
     * @return the learned state, empty before the first record
     */
    public LearnedState learned() {
        return learned;
    }

    /**
     * Returns all workflows as records for a snapshot.
     *
     * @return the records
     */
    public List<WorkflowRecord> toRecords() {
        return workflows.values().stream().map(Workflow::toRecord).toList();
    }

    /**
     * Returns the cancellations of unknown workflows as records for a snapshot.
     *
     * @return the records
     */
    public List<EarlyCancellation> toEarlyCancellations() {
        return earlyCancellations.toRecords();
    }

    /**
     * Restores the records from the content of a snapshot.
     *
     * @param configuration the configuration in force
     * @param records the workflows
     * @param learned what leaders have learned from runs
     * @param earlyCancellations cancellations of unknown workflows, the oldest first
     * @return the restored records
     */
    public static WorkflowRecords of(
            FleetConfiguration configuration,
            List<WorkflowRecord> records,
            LearnedState learned,
            List<EarlyCancellation> earlyCancellations) {
        WorkflowRecords restored = new WorkflowRecords();
        restored.configuration = configuration;
        restored.learned = learned;
        restored.earlyCancellations.restore(earlyCancellations);
        for (WorkflowRecord record : records) {
            Workflow workflow = Workflow.fromRecord(record);
            restored.add(workflow);
            workflow.allTasks().stream()
                    .filter(task -> task.worker().isPresent())
                    .forEach(restored::addOpenRun);
        }
        return restored;
    }
}
