package org.yuccabank.policy.health;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.yuccabank.model.HostId;
import org.yuccabank.model.JobId;
import org.yuccabank.policy.placement.HostStatus;

/**
 * Distinguishes faulty hosts, which fail any job, from faulty jobs, which fail on any host. Not
 * thread-safe.
 *
 * <p>A failure counts against the host unless the job has failed on {@value #MINIMUM_FAILED_HOSTS}
 * hosts, and against the job unless the host is quarantined. A success clears both.
 */
public final class HostHealth {

    /**
     * Distinct jobs that must fail without a success in between; a single job may be faulty itself.
     */
    private static final int MINIMUM_FAILED_JOBS = 2;

    /** Distinct hosts, not quarantined, on which a job must fail; two may both be faulty. */
    private static final int MINIMUM_FAILED_HOSTS = 3;

    private static final long INITIAL_QUARANTINE_MILLIS = 10_000;
    private static final long MAXIMUM_QUARANTINE_MILLIS = 300_000;

    private final Map<HostId, HostRecord> hosts = new HashMap<>();
    private final Map<JobId, Set<HostId>> failedHostsByJob = new HashMap<>();

    /** Failures of one host since its last success. */
    private static final class HostRecord {
        private final Set<JobId> failedJobs = new HashSet<>();
        private boolean quarantined;
        private long quarantineMillis = INITIAL_QUARANTINE_MILLIS;
        private long probeAtMillis;
    }

    private HostHealth() {}

    /**
     * Creates a tracker without recorded failures.
     *
     * @return the tracker
     */
    public static HostHealth create() {
        return new HostHealth();
    }

    /**
     * Records that a task ran without failure for some time or finished.
     *
     * @param host host of the task
     * @param job job of the task
     */
    public void succeeded(HostId host, JobId job) {
        hosts.remove(host);
        failedHostsByJob.remove(job);
    }

    /**
     * Records that a task failed.
     *
     * @param host host of the task
     * @param job job of the task
     * @param nowMillis current time
     */
    public void failed(HostId host, JobId job, long nowMillis) {
        HostRecord record = hosts.computeIfAbsent(host, absent -> new HostRecord());
        Set<HostId> failedHosts = failedHostsByJob.computeIfAbsent(job, absent -> new HashSet<>());
        if (record.quarantined) {
            record.quarantineMillis =
                    Math.min(MAXIMUM_QUARANTINE_MILLIS, 2 * record.quarantineMillis);
            record.probeAtMillis = nowMillis + record.quarantineMillis;
            return;
        }
        failedHosts.add(host);
        if (failedHosts.size() < MINIMUM_FAILED_HOSTS) {
            record.failedJobs.add(job);
        }
        if (record.failedJobs.size() >= MINIMUM_FAILED_JOBS) {
            quarantine(host, record, nowMillis);
        }
    }

    private void quarantine(HostId host, HostRecord record, long nowMillis) {
        record.quarantined = true;
        record.probeAtMillis = nowMillis + record.quarantineMillis;
        // These failures are now attributed to the host.
        for (JobId job : record.failedJobs) {
            Set<HostId> failures = failedHostsByJob.get(job);
            if (failures != null) {
                failures.remove(host);
            }
        }
    }

    /**
     * Returns the status of a host that is otherwise ready.
     *
     * @param host the host
     * @param nowMillis current time
     * @return READY, PROBE if it may receive a single new task, or DRAINING if it receives no new
     *     work
     */
    public HostStatus status(HostId host, long nowMillis) {
        HostRecord record = hosts.get(host);
        if (record == null) {
            return HostStatus.READY;
        }
        if (!record.quarantined) {
            // After one unexplained failure, a single start decides whether the host is faulty.
            return record.failedJobs.isEmpty() ? HostStatus.READY : HostStatus.PROBE;
        }
        return nowMillis >= record.probeAtMillis ? HostStatus.PROBE : HostStatus.DRAINING;
    }

    /**
     * Returns whether a job has failed on too many hosts.
     *
     * @param job the job
     * @return true if it should be parked until its owner acts
     */
    public boolean isParked(JobId job) {
        Set<HostId> failures = failedHostsByJob.get(job);
        return failures != null && failures.size() >= MINIMUM_FAILED_HOSTS;
    }

    /**
     * Returns the hosts on which a job failed, which are excluded from its next attempt.
     *
     * @param job the job
     * @return the hosts
     */
    public Set<HostId> failedHosts(JobId job) {
        return failedHostsByJob.getOrDefault(job, Set.of());
    }
}
