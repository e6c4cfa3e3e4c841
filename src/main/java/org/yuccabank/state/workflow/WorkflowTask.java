package org.yuccabank.state.workflow;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.yuccabank.protocol.generated.RunAddress;
import org.yuccabank.protocol.generated.TaskAddress;
import org.yuccabank.protocol.generated.WorkerIdentity;
import org.yuccabank.state.generated.CountedCrash;
import org.yuccabank.state.generated.WorkflowTaskRecord;

/**
 * One task of a workflow.
 *
 * <p>Invariants: at most one run is open; attempt numbers only increase; a task that is done never
 * gets another run. The run of a gang's member may still be open when another member is done, which
 * makes all of them done. Confined to the replica thread.
 */
public final class WorkflowTask {

    private final Workflow workflow;
    private final TaskAddress address;
    private final String stepKey;
    private boolean done;
    private int latestAttempt;
    private int failures;
    private int latestFailedGangRun;
    private int crashes;
    private int confirmedCrashes;
    private boolean soleSuspect;
    private final List<CountedCrash> countedCrashes = new ArrayList<>();
    private String checkpoint = "";
    private WorkerIdentity worker;
    private String latestHostId = "";

    WorkflowTask(Workflow workflow, TaskAddress address, String stepKey) {
        this.workflow = workflow;
        this.address = address;
        this.stepKey = stepKey;
    }

    /**
     * Returns the workflow of the task.
     *
     * @return the workflow
     */
    public Workflow workflow() {
        return workflow;
    }

    /**
     * Returns the address of the task in its workflow.
     *
     * @return the address
     */
    public TaskAddress address() {
        return address;
    }

    /**
     * Returns whether the task has ended successfully.
     *
     * @return true if it needs no further run
     */
    public boolean isDone() {
        return done;
    }

    /**
     * Returns the attempt number of the latest run.
     *
     * @return the attempt, 0 if the task was never assigned
     */
    public int latestAttempt() {
        return latestAttempt;
    }

    /**
     * Returns the number of runs that failed.
     *
     * @return the count
     */
    public int failures() {
        return failures;
    }

    /**
     * Returns the number of workers that crashed shortly after they may have started the task. A
     * run that is known not to have crashed its worker resets the number.
     *
     * @return the count
     */
    public int crashes() {
        return crashes;
    }

    /**
     * Returns the number of these crashes before which the task had certainly started, of those
     * that log entries of older releases record.
     *
     * @return the count
     */
    public int confirmedCrashes() {
        return confirmedCrashes;
    }

    /** Returns the crashes that were recorded with what is known about their worker. */
    List<CountedCrash> countedCrashes() {
        return countedCrashes;
    }

    /**
     * Returns whether the task was the only suspect of one of these crashes, apart from tasks of
     * its own workflow.
     *
     * @return true if it was
     */
    public boolean isSoleSuspect() {
        return soleSuspect || countedCrashes.stream().anyMatch(CountedCrash::getSoleSuspect);
    }

    /**
     * Returns the latest saved checkpoint.
     *
     * @return the checkpoint, empty if there is none
     */
    public String checkpoint() {
        return checkpoint;
    }

    /**
     * Returns the worker of the open run.
     *
     * @return the worker, empty if no run is open
     */
    public Optional<WorkerIdentity> worker() {
        return Optional.ofNullable(worker);
    }

    /**
     * Returns the host that the latest run was assigned to.
     *
     * @return the identifier of the host, empty if there was no run or an earlier release has
     *     recorded it
     */
    public String latestHostId() {
        return latestHostId;
    }

    /**
     * Returns the address of the latest run.
     *
     * @return the address
     */
    public RunAddress run() {
        return RunAddress.newBuilder().setTask(address).setAttempt(latestAttempt).build();
    }

    /**
     * Returns the key of the step and occurrence that the task belongs to.
     *
     * @return the key, shared by the tasks of the step
     */
    public String stepKey() {
        return stepKey;
    }

    /**
     * Returns whether the task waits for a worker.
     *
     * @return true if it is neither done nor running
     */
    public boolean isWaiting() {
        return !done && worker == null;
    }

    void assign(int attempt, WorkerIdentity assignedWorker) {
        latestAttempt = attempt;
        worker = assignedWorker;
        latestHostId = assignedWorker.getHostId();
    }

    /** Marks the task as done and returns whether it was not done before. */
    boolean markDone() {
        boolean newlyDone = !done;
        done = true;
        return newlyDone;
    }

    /** Records that the failure of the latest run counts for all members of its gang. */
    void recordGangFailure() {
        latestFailedGangRun = latestAttempt;
    }

    /** Returns whether the failure of a run of the gang was counted for this member. */
    boolean isGangFailureOf(int attempt) {
        return latestFailedGangRun == attempt;
    }

    void end(boolean failed, String newCheckpoint) {
        worker = null;
        failures += failed ? 1 : 0;
        checkpoint = newCheckpoint.isEmpty() ? checkpoint : newCheckpoint;
    }

    void recordCrash(boolean confirmed, boolean sole) {
        crashes++;
        confirmedCrashes += confirmed ? 1 : 0;
        soleSuspect |= sole;
    }

    void recordCrash(CountedCrash crash) {
        crashes++;
        countedCrashes.add(crash);
    }

    void clearCrashes() {
        countedCrashes.clear();
        crashes = 0;
        confirmedCrashes = 0;
        soleSuspect = false;
    }

    WorkflowTaskRecord toRecord() {
        WorkflowTaskRecord.Builder record =
                WorkflowTaskRecord.newBuilder()
                        .setAddress(address)
                        .setDone(done)
                        .setAttempts(latestAttempt)
                        .setFailures(failures)
                        .setCheckpoint(checkpoint)
                        .setCrashes(crashes)
                        .setConfirmedCrashes(confirmedCrashes)
                        .setSoleSuspect(soleSuspect)
                        .addAllCountedCrashes(countedCrashes)
                        .setLatestFailedGangRun(latestFailedGangRun)
                        .setLatestHostId(latestHostId);
        worker().ifPresent(record::setWorker);
        return record.build();
    }

    void restore(WorkflowTaskRecord record) {
        done = record.getDone();
        latestAttempt = record.getAttempts();
        failures = record.getFailures();
        checkpoint = record.getCheckpoint();
        crashes = record.getCrashes();
        confirmedCrashes = record.getConfirmedCrashes();
        soleSuspect = record.getSoleSuspect();
        latestFailedGangRun = record.getLatestFailedGangRun();
        latestHostId = record.getLatestHostId();
        countedCrashes.clear();
        countedCrashes.addAll(record.getCountedCrashesList());
        worker = record.hasWorker() ? record.getWorker() : null;
    }
}
