package org.yuccabank.policy.workflow;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Excludes workers that fail tasks of several workflows, as opposed to workflows that fail on every
 * worker. A faulty worker fails tasks quickly, so it always has free capacity and would otherwise
 * receive and fail most of the work.
 *
 * <p>Invariant: the failures of a single workflow never exclude a worker. Not thread-safe.
 */
public final class WorkerCircuitBreaker {

    /** State of the circuit breaker of a worker, which determines the tasks that it may receive. */
    public enum State {
        /** The worker may receive as many tasks as its capacity allows. */
        CLOSED,
        /** The worker may receive a single task, whose result decides the next state. */
        HALF_OPEN,
        /** The worker receives no tasks. */
        OPEN
    }

    /** Consecutive failures that exclude a worker. */
    private static final int MINIMUM_FAILURES = 3;

    /** Distinct workflows among these failures, because a single workflow may be faulty itself. */
    private static final int MINIMUM_FAILED_WORKFLOWS = 2;

    /**
     * Time without tasks before the first probe. Short, because the fault may be transient; doubles
     * with each failed probe.
     */
    private static final long INITIAL_PROBE_DELAY_MILLIS = 1_500;

    private static final long MAXIMUM_PROBE_DELAY_MILLIS = 12_000;

    private final Map<String, FailureRecord> records = new HashMap<>();

    /** Failures of one worker since its last success. */
    private static final class FailureRecord {
        private final Set<String> workflows = new HashSet<>();
        private int failures;
        private boolean open;
        private long probeDelayMillis = INITIAL_PROBE_DELAY_MILLIS;
        private long probeAtMillis;
    }

    /**
     * Records a task that succeeded.
     *
     * @param workerId worker of the task
     */
    public void recordSuccess(String workerId) {
        records.remove(workerId);
    }

    /**
     * Records a task that failed or stalled.
     *
     * @param workerId worker of the task
     * @param workflowId workflow of the task
     * @param nowMillis current time of a monotonic clock
     */
    public void recordFailure(String workerId, String workflowId, long nowMillis) {
        FailureRecord record = records.computeIfAbsent(workerId, absent -> new FailureRecord());
        record.failures++;
        record.workflows.add(workflowId);
        if (record.open && nowMillis >= record.probeAtMillis) {
            record.probeDelayMillis =
                    Math.min(MAXIMUM_PROBE_DELAY_MILLIS, 2 * record.probeDelayMillis);
            record.probeAtMillis = nowMillis + record.probeDelayMillis;
        }
        boolean faulty =
                record.failures >= MINIMUM_FAILURES
                        && record.workflows.size() >= MINIMUM_FAILED_WORKFLOWS;
        if (faulty && !record.open) {
            record.open = true;
            record.probeAtMillis = nowMillis + record.probeDelayMillis;
        }
    }

    /**
     * Returns the state of the circuit breaker of a worker.
     *
     * @param workerId the worker
     * @param nowMillis current time of a monotonic clock
     * @return the state
     */
    public State state(String workerId, long nowMillis) {
        FailureRecord record = records.get(workerId);
        if (record == null || !record.open) {
            return State.CLOSED;
        }
        return nowMillis >= record.probeAtMillis ? State.HALF_OPEN : State.OPEN;
    }
}
