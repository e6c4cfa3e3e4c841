package org.yuccabank.standin;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import org.yuccabank.model.Resources;
import org.yuccabank.standin.WorkerRecord.Event;

/**
 * Platform side of a host, which runs simulated tasks under leases and records all events.
 *
 * <p>The time is passed as an argument, so that tests can use their own clock. A start is rejected
 * if a newer fencing token was used for the task, if its token was stopped or if its lease has
 * ended. It is not rejected for lack of capacity: enforcing the capacity is the responsibility of
 * the agent, and {@link #capacityExceeded()} returns whether the agent has failed to do so.
 * Thread-safe.
 */
public final class StandInWorker {

    private static final long ENDED_TASK_RETENTION_MILLIS = 60_000;

    private final StandInConfiguration configuration;
    private final CheckpointStore checkpoints;
    private final WorkerRecords records;
    private final Map<Long, StandInTask> tasks = new LinkedHashMap<>();
    private final Map<String, Long> newestTokens = new HashMap<>();
    private final Set<Long> stoppedTokens = new HashSet<>();
    private Behaviour behaviour = Behaviour.healthy();
    private boolean capacityExceeded;

    private StandInWorker(
            StandInConfiguration configuration,
            CheckpointStore checkpoints,
            WorkerRecords records) {
        this.configuration = configuration;
        this.checkpoints = checkpoints;
        this.records = records;
    }

    /**
     * Creates a worker without tasks.
     *
     * @param configuration capacity and slowdowns
     * @param checkpoints checkpoint store, shared by workers
     * @return the worker
     */
    public static StandInWorker of(
            StandInConfiguration configuration, CheckpointStore checkpoints) {
        Objects.requireNonNull(configuration, "configuration is null");
        Objects.requireNonNull(checkpoints, "checkpoints is null");
        return new StandInWorker(
                configuration, checkpoints, WorkerRecords.of(configuration.recordFile()));
    }

    /** Returns the records of this worker. */
    public WorkerRecords records() {
        return records;
    }

    /** Sets the injected faults. */
    public synchronized void setBehaviour(Behaviour newBehaviour) {
        behaviour = Objects.requireNonNull(newBehaviour, "newBehaviour is null");
    }

    /** Returns the injected faults. */
    public synchronized Behaviour behaviour() {
        return behaviour;
    }

    /** Returns whether the tasks have ever reserved more than the capacity available to them. */
    public synchronized boolean capacityExceeded() {
        return capacityExceeded;
    }

    /**
     * Advances all tasks to a time. Tasks finish when complete and stop when their lease ends.
     *
     * @param nowMillis current time
     */
    public synchronized void advance(long nowMillis) {
        for (StandInTask task : new ArrayList<>(tasks.values())) {
            if (task.isRunning()) {
                advance(task, nowMillis);
            } else if (nowMillis - task.endedAtMillis > ENDED_TASK_RETENTION_MILLIS) {
                tasks.remove(task.token);
            }
        }
    }

    private void advance(StandInTask task, long nowMillis) {
        task.advanceTo(Math.min(nowMillis, task.leaseUntilMillis), totalSlowdown(task.kind));
        if (task.progress >= 1) {
            endTask(task, StandInTask.Phase.FINISHED, Event.TASK_FINISHED, "", nowMillis);
        } else if (nowMillis >= task.leaseUntilMillis) {
            endTask(task, StandInTask.Phase.STOPPED, Event.TASK_LEASE_EXPIRED, "", nowMillis);
        }
    }

    /**
     * Returns the total slowdown of a kind that the running tasks cause.
     *
     * @param kind the kind
     * @return fraction by which the kind takes longer
     */
    public synchronized double totalSlowdown(String kind) {
        double sum = 0;
        for (StandInTask task : tasks.values()) {
            if (task.isRunning()) {
                sum += configuration.slowdown(kind, task.kind) * (task.throttled ? 0.3 : 1);
            }
        }
        return sum;
    }

    /** Starts a task, or returns its phase if a task with the same token was already started. */
    public synchronized TaskReply start(String id, StartTaskRequest request, long nowMillis) {
        advance(nowMillis);
        StandInTask existing = tasks.get(request.token());
        if (existing != null) {
            return TaskReply.of(existing);
        }
        Optional<String> reason = rejectionReason(id, request, nowMillis);
        if (reason.isPresent()) {
            addRecord(nowMillis, Event.TASK_REFUSED, id, request, reason.get());
            return TaskReply.rejected(reason.get());
        }
        newestTokens.put(id, request.token());
        StandInTask task = new StandInTask(id, request, nowMillis);
        tasks.put(task.token, task);
        Optional<Double> saved = checkpoints.load(id, request.generation());
        saved.ifPresent(savedProgress -> task.progress = savedProgress);
        boolean resumed = request.generation() > 0;
        String detail = resumed && saved.isEmpty() ? "checkpoint is missing" : "";
        addRecord(
                nowMillis, resumed ? Event.TASK_RESUMED : Event.TASK_STARTED, id, request, detail);
        capacityExceeded |= !reservedResources().fitsWithin(allocatable());
        if (behaviour.failing()) {
            endTask(task, StandInTask.Phase.FAILED, Event.TASK_FAILED, "failing worker", nowMillis);
        }
        return TaskReply.of(task);
    }

    private Optional<String> rejectionReason(String id, StartTaskRequest request, long nowMillis) {
        if (request.token() < newestTokens.getOrDefault(id, 0L)) {
            return Optional.of("a newer fencing token was seen");
        }
        if (stoppedTokens.contains(request.token())) {
            return Optional.of("the token was stopped");
        }
        if (request.leaseUntilMillis() <= nowMillis) {
            return Optional.of("the lease has ended");
        }
        return Optional.empty();
    }

    private Resources allocatable() {
        return configuration.capacity().minus(configuration.serviceReservation());
    }

    private Resources reservedResources() {
        Resources sum = Resources.none();
        for (StandInTask task : tasks.values()) {
            if (task.isRunning()) {
                sum = sum.plus(task.reservation);
            }
        }
        return sum;
    }

    /** Extends the lease of a task; never shortens it. */
    public synchronized TaskReply renew(String id, TaskActionRequest request, long nowMillis) {
        return changeRunningTask(
                request,
                nowMillis,
                task ->
                        task.leaseUntilMillis =
                                Math.max(task.leaseUntilMillis, request.leaseUntilMillis()));
    }

    /** Writes a checkpoint of a task under the given generation. */
    public synchronized TaskReply checkpoint(String id, TaskActionRequest request, long nowMillis) {
        return changeRunningTask(
                request,
                nowMillis,
                task -> {
                    task.checkpointGeneration =
                            Math.max(task.checkpointGeneration, request.generation());
                    checkpoints.save(id, request.generation(), task.progress);
                    addRecord(nowMillis, Event.TASK_CHECKPOINTED, task, request.generation(), "");
                });
    }

    /** Throttles or unthrottles a task. */
    public synchronized TaskReply throttle(String id, TaskActionRequest request, long nowMillis) {
        return changeRunningTask(
                request,
                nowMillis,
                task -> {
                    task.throttled = request.on();
                    addRecord(
                            nowMillis,
                            Event.TASK_THROTTLED,
                            task,
                            0,
                            request.on() ? "throttled" : "unthrottled");
                });
    }

    private TaskReply changeRunningTask(
            TaskActionRequest request,
            long nowMillis,
            java.util.function.Consumer<StandInTask> change) {
        advance(nowMillis);
        StandInTask task = tasks.get(request.token());
        if (task == null || !task.isRunning()) {
            return TaskReply.rejected("the task does not run under this token");
        }
        change.accept(task);
        return TaskReply.of(task);
    }

    /** Stops a task and rejects later starts with its token. */
    public synchronized TaskReply stop(String id, TaskActionRequest request, long nowMillis) {
        advance(nowMillis);
        stoppedTokens.add(request.token());
        StandInTask task = tasks.get(request.token());
        if (task == null) {
            return TaskReply.stopped();
        }
        if (task.isRunning()) {
            endTask(task, StandInTask.Phase.STOPPED, Event.TASK_STOPPED, "", nowMillis);
        }
        return TaskReply.of(task);
    }

    private void endTask(
            StandInTask task, StandInTask.Phase phase, Event event, String detail, long nowMillis) {
        task.end(phase, nowMillis);
        addRecord(nowMillis, event, task, task.checkpointGeneration, detail);
    }

    private void addRecord(
            long nowMillis, Event event, StandInTask task, long generation, String detail) {
        records.add(
                new WorkerRecord(
                        nowMillis, event, task.id, task.kind, task.token, generation, detail));
    }

    private void addRecord(
            long nowMillis, Event event, String id, StartTaskRequest request, String detail) {
        records.add(
                new WorkerRecord(
                        nowMillis,
                        event,
                        id,
                        request.kind(),
                        request.token(),
                        request.generation(),
                        detail));
    }

    /** Returns the response body of {@code GET /v1/worker}. */
    public synchronized Map<String, Object> state(long nowMillis) {
        advance(nowMillis);
        Map<String, Object> json = usage();
        json.put("capacity", configuration.capacity());
        json.put("serviceReservation", configuration.serviceReservation());
        json.put("newestToken", newestTokens.values().stream().max(Long::compare).orElse(0L));
        List<Map<String, Object>> taskList = new ArrayList<>();
        tasks.values().forEach(task -> taskList.add(task.toJson()));
        json.put("tasks", taskList);
        return json;
    }

    /** Returns the response body of {@code GET /v1/usage}. */
    public synchronized Map<String, Object> usage() {
        Resources sum = Resources.none();
        for (StandInTask task : tasks.values()) {
            sum = sum.plus(task.usage());
        }
        Map<String, Object> json = new LinkedHashMap<>();
        json.put("usage", sum);
        json.put("usageAgeMillis", 0);
        return json;
    }
}
