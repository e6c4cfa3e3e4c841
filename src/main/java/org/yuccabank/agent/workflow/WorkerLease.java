package org.yuccabank.agent.workflow;

import java.util.OptionalLong;

/**
 * The lease of a worker, measured on the worker's clock.
 *
 * <p>Each answer of the leader to a report grants a horizon. Within the horizon the agent renews a
 * shorter lease at the worker. A worker whose agent is partitioned from the leader thus continues
 * to run until the horizon, while one that does not answer its agent is known to run nothing soon
 * after.
 *
 * <p>Invariants: no lease is sent that ends after the horizon, which is measured from a sample of
 * the worker's clock older than the report; after a report that contained the remaining time, no
 * later lease end is sent until a report without it has been answered. Suspending this host can
 * only shorten leases, as their ends are fixed on the worker's clock. Confined to the agent's event
 * loop; times are on its monotonic clock unless stated otherwise.
 */
final class WorkerLease {

    /** Renewals that extend the lease by less are left out; a list takes about as long. */
    private static final long RENEWAL_INTERVAL_MILLIS = 400;

    private final LeaseDurations durations;
    private long clockMillis;
    private long sampledAtMillis;
    private boolean sampled;
    private OptionalLong horizonEnd = OptionalLong.empty();
    private OptionalLong latestSentEnd = OptionalLong.empty();
    private boolean listReceived;
    private boolean coversPreviousLeases;
    private boolean responsive = true;
    private boolean timeLeftPromised;
    private boolean ended;
    private long promisesFromMillis = Long.MIN_VALUE / 2;

    WorkerLease(LeaseDurations durations) {
        this.durations = durations;
    }

    /** Records the worker's clock from an answer received at the given time. */
    void sampleClock(long workerClockMillis, long receivedMillis) {
        clockMillis = workerClockMillis;
        sampledAtMillis = receivedMillis;
        sampled = true;
    }

    /** Records that the worker has answered a list request. */
    void markResponsive() {
        responsive = true;
        listReceived = true;
    }

    /** Records that the worker has not answered a list request, which suspends renewals. */
    void markUnresponsive() {
        responsive = false;
    }

    /** Records that a worker that was leaving has ended, and its leases with it. */
    void markEnded() {
        ended = true;
    }

    /**
     * Resets the state for a new incarnation, which has its own clock and no lease.
     *
     * @param mayAcceptEarlierCalls whether it accepts calls that were sent to the previous one.
     *     Their lease end is far ahead on its clock and grants it the longest lease that it
     *     accepts, so that no time left is promised until that has expired.
     */
    void reset(long nowMillis, boolean mayAcceptEarlierCalls) {
        promisesFromMillis =
                mayAcceptEarlierCalls
                        ? nowMillis + 2 * durations.horizonMillis()
                        : Long.MIN_VALUE / 2;
        sampled = false;
        horizonEnd = OptionalLong.empty();
        latestSentEnd = OptionalLong.empty();
        listReceived = false;
        coversPreviousLeases = false;
        responsive = true;
        timeLeftPromised = false;
        ended = false;
    }

    /** Returns an estimate of the worker's clock that is never ahead of it, empty if unknown. */
    OptionalLong workerClock(long nowMillis) {
        return sampled
                ? OptionalLong.of(
                        clockMillis + durations.minimumWorkerMillis(nowMillis - sampledAtMillis))
                : OptionalLong.empty();
    }

    /**
     * Extends the horizon after the leader has answered a report, and ends the promise of {@link
     * #promiseTimeLeft}.
     *
     * @param workerClockAtReport the worker's clock when the report was sent, empty if unknown
     * @param timeLeftReported whether the report contained the remaining time of the lease, in
     *     which case the horizon is not extended and the promise stays in force
     */
    void grant(OptionalLong workerClockAtReport, boolean timeLeftReported) {
        if (timeLeftReported || workerClockAtReport.isEmpty()) {
            return;
        }
        WorkflowAgentLog.granted(timeLeftPromised, workerClockAtReport, latestSentEnd);
        timeLeftPromised = false;
        long end = workerClockAtReport.getAsLong() + durations.horizonMillis();
        horizonEnd = OptionalLong.of(Math.max(end, horizonEnd.orElse(end)));
    }

    /** Returns whether a renewal would extend the lease of the worker noticeably. */
    boolean isRenewalDue(long nowMillis) {
        OptionalLong end = renewableEnd(nowMillis);
        return end.isPresent()
                && (latestSentEnd.isEmpty()
                        || end.getAsLong() - latestSentEnd.getAsLong() >= RENEWAL_INTERVAL_MILLIS);
    }

    /** Returns the lease end that can be sent, on the worker's clock, empty if there is none. */
    private OptionalLong renewableEnd(long nowMillis) {
        OptionalLong clock = workerClock(nowMillis);
        if (!responsive || timeLeftPromised || clock.isEmpty() || horizonEnd.isEmpty()) {
            return OptionalLong.empty();
        }
        long end = Math.min(clock.getAsLong() + durations.renewalMillis(), horizonEnd.getAsLong());
        return end > clock.getAsLong() ? OptionalLong.of(end) : OptionalLong.empty();
    }

    /**
     * Returns the lease end to send with the next call, on the worker's clock, and records it as
     * sent. Empty if no lease may be sent.
     */
    OptionalLong renew(long nowMillis) {
        OptionalLong renewable = renewableEnd(nowMillis);
        if (renewable.isPresent()) {
            long end = renewable.getAsLong();
            long fullEnd = workerClock(nowMillis).orElseThrow() + durations.renewalMillis();
            coversPreviousLeases |= listReceived && end == fullEnd;
            latestSentEnd = OptionalLong.of(Math.max(end, latestSentEnd.orElse(end)));
        }
        return renewable;
    }

    /**
     * Returns the time after which an unresponsive worker runs nothing, for the next report. After
     * this call no later lease end is sent until {@link #grant} ends the promise, because the
     * leader may restart the tasks elsewhere after that time. The time is unknown while a previous
     * agent process may have sent a later end than this one.
     *
     * @return milliseconds on the worker's clock, empty while the worker answers or if unknown
     */
    OptionalLong promiseTimeLeft(long nowMillis) {
        if (ended) {
            WorkflowAgentLog.leaseEndPromised(OptionalLong.empty(), OptionalLong.empty());
            timeLeftPromised = true;
            return OptionalLong.of(0);
        }
        OptionalLong clock = workerClock(nowMillis);
        if (responsive
                || !coversPreviousLeases
                || clock.isEmpty()
                || nowMillis < promisesFromMillis) {
            return OptionalLong.empty();
        }
        WorkflowAgentLog.leaseEndPromised(latestSentEnd, clock);
        timeLeftPromised = true;
        return OptionalLong.of(Math.max(0, latestSentEnd.orElseThrow() - clock.getAsLong()));
    }
}
