package org.yuccabank.agent;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import org.yuccabank.protocol.generated.TaskPhase;

/**
 * Brings each task to where it should be by calls to the worker: at most one call and one renewal
 * of a task are open at a time, and a call whose effect is uncertain is repeated.
 *
 * <p>Not thread-safe.
 */
final class TaskRunner {

    /** Pause before a call is repeated. */
    static final long RETRY_MILLIS = 500;

    private final TaskTable table;
    private final Consumer<AgentAction> output;
    private final Consumer<AgentTask> changed;

    private TaskRunner(TaskTable table, Consumer<AgentAction> output, Consumer<AgentTask> changed) {
        this.table = table;
        this.output = output;
        this.changed = changed;
    }

    static TaskRunner of(
            TaskTable table, Consumer<AgentAction> output, Consumer<AgentTask> changed) {
        return new TaskRunner(table, output, changed);
    }

    /** Sends the next call of a task, if one is due. */
    void advance(AgentTask task, long nowMillis) {
        if (!task.isActive()) {
            return;
        }
        renewAtWorker(task, nowMillis);
        if (task.callOpen || nowMillis < task.retryAtMillis) {
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
            task.checkpointWanted = true;
            task.scheduleCheckpoint(nowMillis);
        }
        if (task.throttleWanted != task.throttled) {
            send(
                    task,
                    task.throttleWanted ? WorkerCall.Action.THROTTLE : WorkerCall.Action.UNTHROTTLE,
                    0);
        } else if (task.checkpointWanted) {
            task.checkpointWanted = false;
            sendCheckpoint(task);
        }
    }

    private void renewAtWorker(AgentTask task, long nowMillis) {
        long end = task.lease.endMillis();
        long atWorker = task.workerLeaseEndMillis;
        // More than half of the lease is left for repetitions, and the worker is not called at each
        // report.
        boolean due = end > atWorker && atWorker - nowMillis < (end - nowMillis) * 6 / 10;
        if (task.state == AgentTask.State.RUNNING && due && !task.renewalOpen) {
            task.renewalOpen = true;
            output.accept(new AgentAction.CallWorker(task.call(WorkerCall.Action.RENEW, 0)));
        }
    }

    private void sendCheckpoint(AgentTask task) {
        task.requestedCheckpoint = Math.max(task.requestedCheckpoint, task.checkpoint) + 1;
        send(task, WorkerCall.Action.CHECKPOINT, task.requestedCheckpoint);
    }

    private void send(AgentTask task, WorkerCall.Action action, long generation) {
        task.callOpen = true;
        output.accept(new AgentAction.CallWorker(task.call(action, generation)));
    }

    /** Stops a task, after a checkpoint if it takes checkpoints. */
    void beginStop(AgentTask task, String reason) {
        if (!task.isActive() || task.isStopping()) {
            return;
        }
        boolean checkpoint =
                task.checkpointIntervalMillis > 0 && task.state == AgentTask.State.RUNNING;
        task.state = checkpoint ? AgentTask.State.CHECKPOINTING : AgentTask.State.STOPPING;
        task.detail = reason;
        task.retryAtMillis = 0;
        changed.accept(task);
    }

    /** Takes the answer to a call. */
    void answered(
            AgentTask task, WorkerCall call, WorkerAnswer answer, long lastRead, long nowMillis) {
        if (call.action() == WorkerCall.Action.RENEW) {
            task.renewalOpen = false;
            if (answer.kind() == WorkerAnswer.Kind.DONE) {
                task.workerLeaseEndMillis =
                        Math.max(task.workerLeaseEndMillis, call.leaseEndMillis());
            }
            return;
        }
        task.callOpen = false;
        if (!task.isActive()) {
            return;
        }
        if (answer.kind() == WorkerAnswer.Kind.DONE
                || answer.kind() == WorkerAnswer.Kind.UNCERTAIN) {
            task.workerMayKnow = true;
        }
        switch (call.action()) {
            case START -> startAnswered(task, answer, lastRead, nowMillis);
            case CHECKPOINT -> checkpointAnswered(task, answer);
            case STOP -> stopAnswered(task, answer, nowMillis);
            case THROTTLE -> throttleAnswered(task, answer, true, nowMillis);
            case UNTHROTTLE -> throttleAnswered(task, answer, false, nowMillis);
            default -> {}
        }
        advance(task, nowMillis);
    }

    private void startAnswered(AgentTask task, WorkerAnswer answer, long lastRead, long nowMillis) {
        switch (answer.kind()) {
            case DONE -> {
                task.confirmed = true;
                task.confirmedAtRead = lastRead;
                if (task.state == AgentTask.State.STARTING) {
                    task.state = AgentTask.State.RUNNING;
                    task.phase = TaskPhase.TASK_RUNNING;
                    task.scheduleCheckpoint(nowMillis);
                    changed.accept(task);
                }
            }
            case REFUSED -> {
                table.end(task, TaskPhase.TASK_REFUSED, answer.detail(), nowMillis);
                changed.accept(task);
            }
            default -> task.retryAtMillis = nowMillis + RETRY_MILLIS;
        }
    }

    private void checkpointAnswered(AgentTask task, WorkerAnswer answer) {
        if (answer.kind() == WorkerAnswer.Kind.DONE && answer.generation() > task.checkpoint) {
            task.checkpoint = answer.generation();
            task.requestedCheckpoint = Math.max(task.requestedCheckpoint, answer.generation());
            changed.accept(task);
        }
        if (task.state == AgentTask.State.CHECKPOINTING) {
            task.state = AgentTask.State.STOPPING;
        }
    }

    private void stopAnswered(AgentTask task, WorkerAnswer answer, long nowMillis) {
        boolean neverStarted = answer.kind() == WorkerAnswer.Kind.NOT_SENT && !task.workerMayKnow;
        if (answer.kind() == WorkerAnswer.Kind.DONE || neverStarted) {
            endAs(task, answer.phase(), answer.generation(), nowMillis);
        } else {
            task.retryAtMillis = nowMillis + RETRY_MILLIS;
        }
    }

    private void throttleAnswered(
            AgentTask task, WorkerAnswer answer, boolean throttled, long nowMillis) {
        if (answer.kind() == WorkerAnswer.Kind.DONE) {
            task.throttled = throttled;
            changed.accept(task);
        } else {
            task.retryAtMillis = nowMillis + RETRY_MILLIS;
        }
    }

    private void endAs(AgentTask task, TaskPhase phase, long generation, long nowMillis) {
        boolean ownEnd = phase == TaskPhase.TASK_FINISHED || phase == TaskPhase.TASK_FAILED;
        task.checkpoint = Math.max(task.checkpoint, generation);
        if (phase == TaskPhase.TASK_FINISHED) {
            task.progress = 1;
        }
        String detail = ownEnd ? "" : task.detail;
        table.end(task, ownEnd ? phase : TaskPhase.TASK_STOPPED, detail, nowMillis);
        changed.accept(task);
    }

    /**
     * Compares the tasks with a listing of the worker.
     *
     * @param readId number of the reading; a task that was confirmed after the reading was asked
     *     for may be missing in it
     */
    void reconcile(WorkerState state, long readId, long nowMillis) {
        Map<Long, WorkerTask> listed = new HashMap<>();
        for (WorkerTask entry : state.tasks()) {
            listed.put(entry.token(), entry);
            if (table.find(entry.token()).isEmpty() && entry.isActive()) {
                AgentTask stray = table.adopt(entry, nowMillis);
                beginStop(stray, "not started by this agent");
            }
        }
        for (AgentTask task : table.active()) {
            WorkerTask entry = listed.get(task.token);
            if (entry != null) {
                observe(task, entry, nowMillis);
            } else if (task.confirmed && task.confirmedAtRead < readId) {
                endAs(task, TaskPhase.TASK_STOPPED, 0, nowMillis);
            }
        }
    }

    private void observe(AgentTask task, WorkerTask entry, long nowMillis) {
        task.progress = entry.progress();
        task.usage = entry.usage();
        task.workerMayKnow = true;
        if (entry.checkpoint() > task.checkpoint) {
            task.checkpoint = entry.checkpoint();
            changed.accept(task);
        }
        if (!entry.isActive()) {
            endAs(task, entry.phase(), entry.checkpoint(), nowMillis);
        }
    }
}
