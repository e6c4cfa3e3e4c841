package org.yuccabank.policy.workflow;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Tells workers that fail what they start from workflows that fail everywhere. Answers the load in
 * which a sick worker, being free all the time, draws and fails most of the work.
 *
 * <p>Invariant: the failures of one workflow never take a worker out of use. Not thread-safe.
 */
public final class WorkerCircuitBreaker {

    /** What a worker may get. */
    public enum State {
        /** As many tasks as it has room for. */
        TRUSTED,
        /** One task, whose end decides. */
        PROBE,
        /** Nothing. */
        AVOIDED
    }

    /** Failures in a row, without a success between them, that take a worker out of use. */
    private static final int MIN_FAILURES = 3;

    /** Workflows among them; the failures of one may be its own fault. */
    private static final int MIN_FAILED_WORKFLOWS = 2;

    /** Time without tasks after the first time; short, as the trouble may be over soon. */
    private static final long INITIAL_PROBE_DELAY_MILLIS = 1_500;

    /** Longest time without tasks. */
    private static final long MAX_PROBE_DELAY_MILLIS = 12_000;

    private final Map<String, FailureRecord> records = new HashMap<>();

    /** What happened on one worker since its last success. */
    private static final class FailureRecord {
        private final Set<String> workflows = new HashSet<>();
        private int failures;
        private boolean avoided;
        private long probeDelayMillis = INITIAL_PROBE_DELAY_MILLIS;
        private long probeAtMillis;
    }

    /**
     * Takes the end of a task that ran well.
     *
     * @param workerId worker of the task
     */
    public void succeeded(String workerId) {
        records.remove(workerId);
    }

    /**
     * Takes the end of a task that failed or stood still.
     *
     * @param workerId worker of the task
     * @param workflowId workflow of the task
     * @param nowMillis present time of a steady clock
     */
    public void failed(String workerId, String workflowId, long nowMillis) {
        FailureRecord record = records.computeIfAbsent(workerId, absent -> new FailureRecord());
        record.failures++;
        record.workflows.add(workflowId);
        if (record.avoided && nowMillis >= record.probeAtMillis) {
            record.probeDelayMillis = Math.min(MAX_PROBE_DELAY_MILLIS, 2 * record.probeDelayMillis);
            record.probeAtMillis = nowMillis + record.probeDelayMillis;
        }
        boolean faulty =
                record.failures >= MIN_FAILURES && record.workflows.size() >= MIN_FAILED_WORKFLOWS;
        if (faulty && !record.avoided) {
            record.avoided = true;
            record.probeAtMillis = nowMillis + record.probeDelayMillis;
        }
    }

    /**
     * Tells what a worker may get.
     *
     * @param workerId the worker
     * @param nowMillis present time of a steady clock
     * @return its standing
     */
    public State state(String workerId, long nowMillis) {
        FailureRecord record = records.get(workerId);
        if (record == null || !record.avoided) {
            return State.TRUSTED;
        }
        return nowMillis >= record.probeAtMillis ? State.PROBE : State.AVOIDED;
    }
}
