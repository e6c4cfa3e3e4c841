package org.yuccabank.agent;

import org.yuccabank.model.Resources;
import org.yuccabank.protocol.generated.TaskDirective;
import org.yuccabank.protocol.generated.TaskPhase;
import org.yuccabank.protocol.generated.TaskState;

/**
 * A lease of a task on this host. Mutable; owned by {@link TaskTable}.
 *
 * <p>Invariant: {@link State#ENDED} is reached only after the worker has confirmed the end, or if
 * it is certain that the worker never received the start.
 */
final class AgentTask {

    /** The lifecycle state of a task on this host. */
    enum State {
        /** The start is being sent to the worker. */
        STARTING,
        /** The worker has confirmed the start. */
        RUNNING,
        /** A final checkpoint is being written before the stop. */
        CHECKPOINTING,
        /** The stop is being sent to the worker. */
        STOPPING,
        /** The task does not run and will never run under this token. */
        ENDED
    }

    // The worker lists only the end of a lease; this is the drift margin of the usual 10 s lease.
    private static final long ADOPTED_LEASE_MARGIN_MILLIS = 1_000;

    final String taskId;
    final long token;
    String kind = "";
    String account = "";
    Resources reservation = Resources.none();
    Resources usage = Resources.none();
    State state = State.STARTING;
    TaskPhase phase = TaskPhase.TASK_STARTING;
    String detail = "";
    long startGeneration;
    long checkpoint;
    long requestedGeneration;
    long checkpointIntervalMillis;
    long nextCheckpointMillis = Long.MAX_VALUE;
    long runTimeMillis;
    Lease lease = Lease.endedAt(0);
    long workerLeaseEndMillis;
    double progress;
    boolean throttled;
    boolean throttleRequested;
    boolean checkpointPending;
    boolean startMayHaveArrived;
    boolean startConfirmed;
    long confirmedAtReadId;
    boolean callInProgress;
    boolean renewalInProgress;
    long retryAtMillis;
    long changedSequence;
    long endedAtMillis;

    AgentTask(String taskId, long token) {
        this.taskId = taskId;
        this.token = token;
    }

    static AgentTask of(TaskDirective directive, Lease lease, long nowMillis) {
        AgentTask task = new AgentTask(directive.getTaskId(), directive.getFencingToken());
        task.kind = directive.getKind();
        task.account = directive.getAccount();
        task.reservation = ResourceVectors.fromMessage(directive.getReservation());
        task.startGeneration = directive.getCheckpointGeneration();
        task.checkpoint = task.startGeneration;
        task.requestedGeneration = task.startGeneration;
        task.runTimeMillis = directive.getRunTimeMillis();
        task.lease = lease;
        task.workerLeaseEndMillis = lease.endMillis();
        task.checkpointIntervalMillis = directive.getCheckpointIntervalMillis();
        task.scheduleCheckpoint(nowMillis);
        return task;
    }

    static AgentTask adopted(WorkerTask listed, long nowMillis) {
        AgentTask task = new AgentTask(listed.taskId(), listed.token());
        task.kind = listed.kind();
        task.reservation = listed.reservation();
        long stopAt = listed.leaseEndMillis() - ADOPTED_LEASE_MARGIN_MILLIS;
        task.lease = new Lease(stopAt, listed.leaseEndMillis());
        task.workerLeaseEndMillis = listed.leaseEndMillis();
        task.checkpoint = listed.checkpoint();
        task.requestedGeneration = listed.checkpoint();
        task.startMayHaveArrived = true;
        task.startConfirmed = true;
        task.state = listed.isActive() ? State.RUNNING : State.ENDED;
        task.phase = listed.phase();
        task.endedAtMillis = nowMillis;
        return task;
    }

    boolean isActive() {
        return state != State.ENDED;
    }

    boolean isStopping() {
        return state == State.CHECKPOINTING || state == State.STOPPING;
    }

    void extendLease(Lease renewed) {
        if (renewed.endMillis() > lease.endMillis()) {
            lease = renewed;
        }
    }

    void scheduleCheckpoint(long nowMillis) {
        if (checkpointIntervalMillis > 0) {
            nextCheckpointMillis = nowMillis + checkpointIntervalMillis;
        }
    }

    WorkerCall toCall(WorkerCall.Action action, long generation) {
        return new WorkerCall(
                action,
                taskId,
                token,
                kind,
                account,
                reservation,
                lease.endMillis(),
                generation,
                runTimeMillis);
    }

    TaskState toMessage() {
        return TaskState.newBuilder()
                .setTaskId(taskId)
                .setFencingToken(token)
                .setPhase(phase)
                .setConfirmedCheckpoint(checkpoint)
                .setProgress(progress)
                .setDetail(detail)
                .setUsage(ResourceVectors.toMessage(usage))
                .setThrottled(throttled)
                .build();
    }
}
