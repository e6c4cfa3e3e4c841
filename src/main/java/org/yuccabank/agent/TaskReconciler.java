package org.yuccabank.agent;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import org.yuccabank.protocol.generated.TaskPhase;

/**
 * Drives each task to its desired state by calls to the worker. At most one call and one renewal
 * per task are in progress at a time; a call with an uncertain effect is repeated.
 *
 * <p>Not thread-safe.
 */
final class TaskReconciler {

    /** Delay before a call is repeated. */
    static final long RETRY_DELAY_MILLIS = 500;

    private final TaskTable taskTable;
    private final Consumer<AgentAction> actions;
    private final Consumer<AgentTask> onTaskChanged;

    private TaskReconciler(
            TaskTable taskTable, Consumer<AgentAction> actions, Consumer<AgentTask> onTaskChanged) {
        this.taskTable = taskTable;
        this.actions = actions;
        this.onTaskChanged = onTaskChanged;
    }

    static TaskReconciler of(
            TaskTable taskTable, Consumer<AgentAction> actions, Consumer<AgentTask> onTaskChanged) {
        return new TaskReconciler(taskTable, actions, onTaskChanged);
    }

    /** Sends the next calls for a task that are due. */
    void advance(AgentTask task, long nowMillis) {
        if (!task.isActive()) {
            return;
        }
        renewLease(task, nowMillis);
        if (task.callInProgress || nowMillis < task.retryAtMillis) {
            return;
        }
        switch (task.state) {
            case STARTING -> send(task, WorkerCall.Action.START, task.startGeneration);
            case RUNNING -> advanceRunning(task, nowMillis);
            case CHECKPOINTING -> sendCheckpoint(task);
            case STOPPING -> send(task, WorkerCall.Action.STOP, 0);
            default -> {}
        }
    }

    private void advanceRunning(AgentTask task, long nowMillis) {
        if (nowMillis >= task.nextCheckpointMillis) {
            task.checkpointPending = true;
            task.scheduleCheckpoint(nowMillis);
        }
        if (task.throttleRequested != task.throttled) {
            send(
                    task,
                    task.throttleRequested
                            ? WorkerCall.Action.THROTTLE
                            : WorkerCall.Action.UNTHROTTLE,
                    0);
        } else if (task.checkpointPending) {
            task.checkpointPending = false;
            sendCheckpoint(task);
        }
    }

    private void renewLease(AgentTask task, long nowMillis) {
        long end = task.lease.endMillis();
        long workerLeaseEnd = task.workerLeaseEndMillis;
        // Renewing below 60 % leaves more than half of the lease for retries and does not call the
        // worker for each report.
        boolean due =
                end > workerLeaseEnd && workerLeaseEnd - nowMillis < (end - nowMillis) * 6 / 10;
        if (task.state == AgentTask.State.RUNNING && due && !task.renewalInProgress) {
            task.renewalInProgress = true;
            actions.accept(new AgentAction.CallWorker(task.toCall(WorkerCall.Action.RENEW, 0)));
        }
    }

    private void sendCheckpoint(AgentTask task) {
        task.requestedGeneration = Math.max(task.requestedGeneration, task.checkpoint) + 1;
        send(task, WorkerCall.Action.CHECKPOINT, task.requestedGeneration);
    }

    private void send(AgentTask task, WorkerCall.Action action, long generation) {
        task.callInProgress = true;
        actions.accept(new AgentAction.CallWorker(task.toCall(action, generation)));
    }

    /** Starts to stop a task, after a final checkpoint if the task is checkpointed. */
    void beginStop(AgentTask task, String reason) {
        if (!task.isActive() || task.isStopping()) {
            return;
        }
        boolean checkpoint =
                task.checkpointIntervalMillis > 0 && task.state == AgentTask.State.RUNNING;
        task.state = checkpoint ? AgentTask.State.CHECKPOINTING : AgentTask.State.STOPPING;
        task.detail = reason;
        task.retryAtMillis = 0;
        onTaskChanged.accept(task);
    }

    /**
     * Handles the result of a call.
     *
     * @param lastRead number of the newest read of the worker's state
     */
    void onCallResult(
            AgentTask task,
            WorkerCall call,
            WorkerCallResult result,
            long lastRead,
            long nowMillis) {
        if (call.action() == WorkerCall.Action.RENEW) {
            task.renewalInProgress = false;
            if (result.kind() == WorkerCallResult.Kind.DONE) {
                task.workerLeaseEndMillis =
                        Math.max(task.workerLeaseEndMillis, call.leaseEndMillis());
            }
            return;
        }
        task.callInProgress = false;
        if (!task.isActive()) {
            return;
        }
        if (result.kind() == WorkerCallResult.Kind.DONE
                || result.kind() == WorkerCallResult.Kind.UNCERTAIN) {
            task.startMayHaveArrived = true;
        }
        switch (call.action()) {
            case START -> onStartResult(task, result, lastRead, nowMillis);
            case CHECKPOINT -> onCheckpointResult(task, result);
            case STOP -> onStopResult(task, result, nowMillis);
            case THROTTLE -> onThrottleResult(task, result, true, nowMillis);
            case UNTHROTTLE -> onThrottleResult(task, result, false, nowMillis);
            default -> {}
        }
        advance(task, nowMillis);
    }

    private void onStartResult(
            AgentTask task, WorkerCallResult result, long lastRead, long nowMillis) {
        switch (result.kind()) {
            case DONE -> {
                task.startConfirmed = true;
                task.confirmedAtReadId = lastRead;
                if (task.state == AgentTask.State.STARTING) {
                    task.state = AgentTask.State.RUNNING;
                    task.phase = TaskPhase.TASK_RUNNING;
                    task.scheduleCheckpoint(nowMillis);
                    onTaskChanged.accept(task);
                }
            }
            case REFUSED -> {
                taskTable.end(task, TaskPhase.TASK_REFUSED, result.detail(), nowMillis);
                onTaskChanged.accept(task);
            }
            default -> task.retryAtMillis = nowMillis + RETRY_DELAY_MILLIS;
        }
    }

    private void onCheckpointResult(AgentTask task, WorkerCallResult result) {
        if (result.kind() == WorkerCallResult.Kind.DONE && result.generation() > task.checkpoint) {
            task.checkpoint = result.generation();
            task.requestedGeneration = Math.max(task.requestedGeneration, result.generation());
            onTaskChanged.accept(task);
        }
        if (task.state == AgentTask.State.CHECKPOINTING) {
            task.state = AgentTask.State.STOPPING;
        }
    }

    private void onStopResult(AgentTask task, WorkerCallResult result, long nowMillis) {
        boolean neverStarted =
                result.kind() == WorkerCallResult.Kind.NOT_SENT && !task.startMayHaveArrived;
        if (result.kind() == WorkerCallResult.Kind.DONE || neverStarted) {
            endTask(task, result.phase(), result.generation(), nowMillis);
        } else {
            task.retryAtMillis = nowMillis + RETRY_DELAY_MILLIS;
        }
    }

    private void onThrottleResult(
            AgentTask task, WorkerCallResult result, boolean throttled, long nowMillis) {
        if (result.kind() == WorkerCallResult.Kind.DONE) {
            task.throttled = throttled;
            onTaskChanged.accept(task);
        } else {
            task.retryAtMillis = nowMillis + RETRY_DELAY_MILLIS;
        }
    }

    private void endTask(AgentTask task, TaskPhase phase, long generation, long nowMillis) {
        boolean selfEnded = phase == TaskPhase.TASK_FINISHED || phase == TaskPhase.TASK_FAILED;
        task.checkpoint = Math.max(task.checkpoint, generation);
        if (phase == TaskPhase.TASK_FINISHED) {
            task.progress = 1;
        }
        String detail = selfEnded ? "" : task.detail;
        taskTable.end(task, selfEnded ? phase : TaskPhase.TASK_STOPPED, detail, nowMillis);
        onTaskChanged.accept(task);
    }

    /**
     * Reconciles the tasks with the state of the worker.
     *
     * @param readId number of the read; a task whose start was confirmed after the read was
     *     requested may be missing from the state
     */
    void reconcile(WorkerState state, long readId, long nowMillis) {
        Map<Long, WorkerTask> listedTasks = new HashMap<>();
        for (WorkerTask listedTask : state.tasks()) {
            listedTasks.put(listedTask.token(), listedTask);
            if (taskTable.find(listedTask.token()).isEmpty() && listedTask.isActive()) {
                AgentTask unknownTask = taskTable.adopt(listedTask, nowMillis);
                beginStop(unknownTask, "not started by this agent");
            }
        }
        for (AgentTask task : taskTable.active()) {
            WorkerTask listedTask = listedTasks.get(task.token);
            if (listedTask != null) {
                updateFromListing(task, listedTask, nowMillis);
            } else if (task.startConfirmed && task.confirmedAtReadId < readId) {
                endTask(task, TaskPhase.TASK_STOPPED, 0, nowMillis);
            }
        }
    }

    private void updateFromListing(AgentTask task, WorkerTask listedTask, long nowMillis) {
        task.progress = listedTask.progress();
        task.usage = listedTask.usage();
        task.startMayHaveArrived = true;
        if (listedTask.checkpoint() > task.checkpoint) {
            task.checkpoint = listedTask.checkpoint();
            onTaskChanged.accept(task);
        }
        if (!listedTask.isActive()) {
            endTask(task, listedTask.phase(), listedTask.checkpoint(), nowMillis);
        }
    }
}
