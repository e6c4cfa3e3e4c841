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
 * <p>The circuit closes when a task ends successfully, or when a run that was assigned after the
 * failures has worked for a while, because tasks that last never end. Runs that were on the worker
 * before are no evidence and take no probe's place.
 *
 * <p>Invariants: the failures of a single workflow never exclude a worker; at most one probe of a
 * worker waits for its result. Not thread-safe.
 */
public final class WorkerCircuitBreaker {

    /** State of the circuit breaker of a worker, which determines the tasks that it may receive. */
    public enum State {
        /** The worker may receive as many tasks as its capacity allows. */
        CLOSED,
        /** The worker may receive a single task, the probe, which decides the next state. */
        HALF_OPEN,
        /** The worker receives no further tasks until the result of its probe is known. */
        PROBING,
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

    /**
     * Longest time without a probe. A task that only this worker can run has to start within 7 s of
     * its recovery, by the requirements, and may have to wait for another probe.
     */
    private static final long MAXIMUM_PROBE_DELAY_MILLIS = 3_000;

    /** Time after which a lasting run that is at work shows that its worker is well. */
    private static final long LASTING_PROBE_MILLIS = 2_000;

    /**
     * The same for a run that ends, which may also fail late, and whose end is the better proof.
     */
    private static final long PROBE_MILLIS = 5_000;

    private static final int COMPLETE_PERCENT = 100;

    private final Map<String, FailureRecord> records = new HashMap<>();

    /** Failures of one worker since its last success, and the runs that it was assigned since. */
    private static final class FailureRecord {
        private final Set<String> workflows = new HashSet<>();
        private final Map<String, LaterRun> laterRuns = new HashMap<>();
        private int failures;
        private boolean open;
        private long probeDelayMillis = INITIAL_PROBE_DELAY_MILLIS;
        private long probeAtMillis;

        private boolean hasProbe() {
            return laterRuns.values().stream().anyMatch(run -> run.probe);
        }
    }

    /** A run that was assigned after a failure. */
    private static final class LaterRun {
        private final boolean probe;
        private boolean reported;
        private int firstPercent;
        private long firstReportMillis;

        private LaterRun(boolean probe) {
            this.probe = probe;
        }
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
     * Records that a run was assigned to a worker.
     *
     * @param workerId the worker
     * @param runId identifier of the run
     */
    public void recordAssignment(String workerId, String runId) {
        FailureRecord record = records.get(workerId);
        if (record != null) {
            record.laterRuns.put(runId, new LaterRun(record.open));
        }
    }

    /**
     * Records that a worker reports a run as active. A run that was assigned after the failures and
     * has made progress, or is complete, counts as a success after a while.
     *
     * @param workerId the worker
     * @param runId identifier of the run
     * @param percent progress of the run, 0 to 100
     * @param lasting whether the task runs until it is stopped
     * @param nowMillis current time of a monotonic clock
     */
    public void recordActive(
            String workerId, String runId, int percent, boolean lasting, long nowMillis) {
        FailureRecord record = records.get(workerId);
        LaterRun run = record == null ? null : record.laterRuns.get(runId);
        if (run == null) {
            return;
        }
        if (!run.reported) {
            run.reported = true;
            run.firstPercent = percent;
            run.firstReportMillis = nowMillis;
        }
        boolean works = percent > run.firstPercent || percent >= COMPLETE_PERCENT;
        long requiredMillis = lasting ? LASTING_PROBE_MILLIS : PROBE_MILLIS;
        if (works && nowMillis - run.firstReportMillis >= requiredMillis) {
            recordSuccess(workerId);
        }
    }

    /**
     * Records that a run is over, for whatever reason. Failures are recorded in addition.
     *
     * @param workerId worker of the run
     * @param runId identifier of the run
     */
    public void recordEnd(String workerId, String runId) {
        FailureRecord record = records.get(workerId);
        if (record != null) {
            record.laterRuns.remove(runId);
        }
    }

    /** Forgets all failures, as a new leader does. */
    public void clear() {
        records.clear();
    }

    /**
     * Returns whether failures of a worker have been recorded since its last success.
     *
     * @param workerId the worker
     * @return true if further ends and reports of its runs matter
     */
    public boolean hasFailures(String workerId) {
        return records.containsKey(workerId);
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
        if (nowMillis < record.probeAtMillis) {
            return State.OPEN;
        }
        return record.hasProbe() ? State.PROBING : State.HALF_OPEN;
    }
}
