package org.yuccabank.agent;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.yuccabank.model.Resources;
import org.yuccabank.protocol.generated.TaskDirective;
import org.yuccabank.protocol.generated.TaskPhase;

/**
 * The task leases on this host and their reservations.
 *
 * <p>Invariants: the reservations of all active tasks and of the service instance fit into the
 * capacity; at most one lease of a task is active; an evicted token is at most {@link #watermark},
 * and no unknown token up to the watermark is admitted. Not thread-safe.
 */
final class TaskTable {

    /** Retention time of an ended task, counted from its end. */
    static final long RETENTION_MILLIS = 60_000;

    private final AgentOptions options;
    private final Map<Long, AgentTask> tasks = new LinkedHashMap<>();
    private Resources capacity = Resources.none();
    private Resources serviceReservation = Resources.none();
    private long watermark;

    private TaskTable(AgentOptions options) {
        this.options = options;
    }

    static TaskTable of(AgentOptions options) {
        return new TaskTable(options);
    }

    /** Sets the capacity and service reservation that the worker reports. */
    void setCapacity(Resources newCapacity, Resources newServiceReservation) {
        capacity = newCapacity;
        serviceReservation = newServiceReservation;
    }

    /** Returns the capacity available to tasks, which excludes the service reservation. */
    Resources allocatable() {
        return capacity.minus(serviceReservation).componentwiseMaximum(Resources.none());
    }

    /** Returns the sum of the reservations of all active tasks. */
    Resources reserved() {
        Resources sum = Resources.none();
        for (AgentTask task : tasks.values()) {
            boolean counted = options.countStopping() ? task.isActive() : !task.isStopping();
            if (counted && task.isActive()) {
                sum = sum.plus(task.reservation);
            }
        }
        return sum;
    }

    /**
     * Admits or refuses a start.
     *
     * @param directive a start with an unknown token
     * @return the new task, which has ended with a reason if it was refused
     */
    AgentTask admit(TaskDirective directive, Lease lease, long nowMillis) {
        AgentTask task = AgentTask.of(directive, lease, nowMillis);
        Optional<String> reason = findRefusal(task);
        tasks.put(task.token, task);
        reason.ifPresent(text -> end(task, TaskPhase.TASK_REFUSED, text, nowMillis));
        return task;
    }

    /** Records a start that the caller refuses. */
    AgentTask refuse(TaskDirective directive, String reason, long nowMillis) {
        AgentTask task = AgentTask.of(directive, Lease.endedAt(nowMillis), nowMillis);
        tasks.put(task.token, task);
        end(task, TaskPhase.TASK_REFUSED, reason, nowMillis);
        return task;
    }

    private Optional<String> findRefusal(AgentTask candidate) {
        if (options.checkTokens()) {
            if (candidate.token <= watermark) {
                return Optional.of("fencing token is older than this agent remembers");
            }
            for (AgentTask other : tasks.values()) {
                if (other.taskId.equals(candidate.taskId)) {
                    if (other.token > candidate.token) {
                        return Optional.of("a newer fencing token is known: " + other.token);
                    }
                    if (other.isActive()) {
                        return Optional.of("an earlier lease has not ended: " + other.token);
                    }
                }
            }
        }
        Resources total = reserved().plus(candidate.reservation);
        if (options.checkCapacity() && !total.fitsWithin(allocatable())) {
            return Optional.of("capacity is used up");
        }
        return Optional.empty();
    }

    /** Adds a task that the worker lists and that this incarnation did not start. */
    AgentTask adopt(WorkerTask listed, long nowMillis) {
        AgentTask task = AgentTask.adopted(listed, nowMillis);
        tasks.put(task.token, task);
        return task;
    }

    /** Records a stop that arrived before its start, so that a later start is refused. */
    AgentTask recordEarlyStop(TaskDirective directive, long nowMillis) {
        AgentTask task = AgentTask.of(directive, Lease.endedAt(nowMillis), nowMillis);
        tasks.put(task.token, task);
        end(task, TaskPhase.TASK_STOPPED, "stopped before its start", nowMillis);
        return task;
    }

    /** Ends a task and releases its resources. */
    void end(AgentTask task, TaskPhase phase, String detail, long nowMillis) {
        task.state = AgentTask.State.ENDED;
        task.phase = phase;
        task.detail = detail;
        task.endedAtMillis = nowMillis;
        task.usage = Resources.none();
    }

    Optional<AgentTask> find(long token) {
        return Optional.ofNullable(tasks.get(token));
    }

    Collection<AgentTask> all() {
        return Collections.unmodifiableCollection(tasks.values());
    }

    List<AgentTask> active() {
        List<AgentTask> result = new ArrayList<>();
        for (AgentTask task : tasks.values()) {
            if (task.isActive()) {
                result.add(task);
            }
        }
        return result;
    }

    /** Raises the watermark, so that unknown tokens up to the given one are refused. */
    void raiseWatermark(long token) {
        watermark = Math.max(watermark, token);
    }

    boolean isEvicted(long token) {
        return token <= watermark && !tasks.containsKey(token);
    }

    /** Evicts ended tasks that control has acknowledged and whose retention time is over. */
    void evict(long acknowledgedSequence, long nowMillis) {
        Iterator<AgentTask> iterator = tasks.values().iterator();
        while (iterator.hasNext()) {
            AgentTask task = iterator.next();
            if (!task.isActive()
                    && task.changedSequence <= acknowledgedSequence
                    && nowMillis - task.endedAtMillis >= RETENTION_MILLIS) {
                raiseWatermark(task.token);
                iterator.remove();
            }
        }
    }
}
