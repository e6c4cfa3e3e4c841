package org.yuccabank.policy.health;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.yuccabank.model.HostId;
import org.yuccabank.model.JobId;
import org.yuccabank.policy.placement.HostStatus;

/**
 * Tells hosts that fail everything apart from jobs that fail everywhere. Not thread-safe.
 *
 * <p>A failure counts against the host only while the job has not failed on other hosts, and
 * against the job only while the host has not failed other jobs. A success clears both.
 */
public final class HostHealth {

    /** Distinct jobs that must fail in a row; one may be the job's fault. */
    private static final int MIN_FAILED_JOBS = 2;

    /** Distinct trusted hosts on which a job must fail; two may both be bad hosts. */
    private static final int MIN_FAILED_HOSTS = 3;

    private static final long INITIAL_QUARANTINE_MILLIS = 10_000;
    private static final long MAX_QUARANTINE_MILLIS = 300_000;

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
     * Creates a tracker that trusts every host and job.
     *
     * @return the tracker
     */
    public static HostHealth create() {
        return new HostHealth();
    }

    /**
     * Takes in that a task ran well for a while or finished.
     *
     * @param host where it ran
     * @param job its job
     */
    public void succeeded(HostId host, JobId job) {
        hosts.remove(host);
        failedHostsByJob.remove(job);
    }

    /**
     * Takes in that a task failed.
     *
     * @param host where it failed
     * @param job its job
     * @param nowMillis present time
     */
    public void failed(HostId host, JobId job, long nowMillis) {
        HostRecord record = hosts.computeIfAbsent(host, absent -> new HostRecord());
        Set<HostId> failedHosts = failedHostsByJob.computeIfAbsent(job, absent -> new HashSet<>());
        if (record.quarantined) {
            record.quarantineMillis = Math.min(MAX_QUARANTINE_MILLIS, 2 * record.quarantineMillis);
            record.probeAtMillis = nowMillis + record.quarantineMillis;
            return;
        }
        failedHosts.add(host);
        if (failedHosts.size() < MIN_FAILED_HOSTS) {
            record.failedJobs.add(job);
        }
        if (record.failedJobs.size() >= MIN_FAILED_JOBS) {
            quarantine(host, record, nowMillis);
        }
    }

    private void quarantine(HostId host, HostRecord record, long nowMillis) {
        record.quarantined = true;
        record.probeAtMillis = nowMillis + record.quarantineMillis;
        // The failures of these jobs are now explained by the host.
        for (JobId job : record.failedJobs) {
            Set<HostId> failures = failedHostsByJob.get(job);
            if (failures != null) {
                failures.remove(host);
            }
        }
    }

    /**
     * Status of a host that is otherwise ready.
     *
     * @param host the host
     * @param nowMillis present time
     * @return READY, PROBE if one new task may be tried, or DRAINING for no new work
     */
    public HostStatus status(HostId host, long nowMillis) {
        HostRecord record = hosts.get(host);
        if (record == null) {
            return HostStatus.READY;
        }
        if (!record.quarantined) {
            // After one unexplained failure the next start decides, so only one is risked.
            return record.failedJobs.isEmpty() ? HostStatus.READY : HostStatus.PROBE;
        }
        return nowMillis >= record.probeAtMillis ? HostStatus.PROBE : HostStatus.DRAINING;
    }

    /**
     * Whether a job fails everywhere.
     *
     * @param job the job
     * @return true if it is to be parked until its owner acts
     */
    public boolean isParked(JobId job) {
        Set<HostId> failures = failedHostsByJob.get(job);
        return failures != null && failures.size() >= MIN_FAILED_HOSTS;
    }

    /**
     * Hosts on which a job failed; the next try goes elsewhere.
     *
     * @param job the job
     * @return the hosts
     */
    public Set<HostId> failedHosts(JobId job) {
        return failedHostsByJob.getOrDefault(job, Set.of());
    }
}
