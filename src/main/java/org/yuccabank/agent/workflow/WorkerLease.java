package org.yuccabank.agent.workflow;

import java.util.OptionalLong;

/**
 * The lease of a worker, measured on the worker's clock.
 *
 * <p>The leader grants a horizon with each answer to a report. Within it the agent renews a shorter
 * lease at the worker, so that a worker whose agent is cut off from the leader runs on until the
 * horizon, while one that does not answer its agent is known to run nothing soon after.
 *
 * <p>Invariants: no lease that is sent reaches past the horizon, which counts from a sample of the
 * worker's clock that is older than the report; once a report has told the time that is left, no
 * later end is sent before a report without it is answered. A suspension of this host only shortens
 * leases, as ends are fixed on the worker's clock. Confined to the thread of the agent; times
 * without other notice are of its steady clock.
 */
final class WorkerLease {

    private final LeaseDurations durations;
    private long clockMillis;
    private long sampledAtMillis;
    private boolean sampled;
    private OptionalLong horizonEnd = OptionalLong.empty();
    private OptionalLong latestSentEnd = OptionalLong.empty();
    private boolean listReceived;
    private boolean coversFormerLeases;
    private boolean responsive = true;
    private boolean promised;

    WorkerLease(LeaseDurations durations) {
        this.durations = durations;
    }

    /** The worker's clock, as an answer told it that was received at this time. */
    void sampleClock(long workerClockMillis, long receivedMillis) {
        clockMillis = workerClockMillis;
        sampledAtMillis = receivedMillis;
        sampled = true;
    }

    /** The worker has answered a request for its list. */
    void markResponsive() {
        responsive = true;
        listReceived = true;
    }

    /** The worker has not answered a request for its list: its lease is not renewed any more. */
    void markUnresponsive() {
        responsive = false;
    }

    /** A new incarnation has a clock of its own and has been sent nothing. */
    void reset() {
        sampled = false;
        horizonEnd = OptionalLong.empty();
        latestSentEnd = OptionalLong.empty();
        listReceived = false;
        coversFormerLeases = false;
        responsive = true;
        promised = false;
    }

    /** The worker's clock at a moment, never later than it truly is. */
    OptionalLong workerClock(long nowMillis) {
        return sampled
                ? OptionalLong.of(clockMillis + nowMillis - sampledAtMillis)
                : OptionalLong.empty();
    }

    /**
     * The leader has answered a report.
     *
     * @param workerClockAtReport the worker's clock when the report was sent, empty if unknown
     * @param timeLeftReported whether the report told the time that is left of the lease
     */
    void grant(OptionalLong workerClockAtReport, boolean timeLeftReported) {
        if (timeLeftReported || workerClockAtReport.isEmpty()) {
            return;
        }
        promised = false;
        long end = workerClockAtReport.getAsLong() + durations.horizonMillis();
        horizonEnd = OptionalLong.of(Math.max(end, horizonEnd.orElse(end)));
    }

    /** The end to send with the next call, on the worker's clock; empty if nothing may be sent. */
    OptionalLong renew(long nowMillis) {
        OptionalLong clock = workerClock(nowMillis);
        if (!responsive || promised || clock.isEmpty() || horizonEnd.isEmpty()) {
            return OptionalLong.empty();
        }
        long fullEnd = clock.getAsLong() + durations.renewalMillis();
        long end = Math.min(fullEnd, horizonEnd.getAsLong());
        if (end <= clock.getAsLong()) {
            return OptionalLong.empty();
        }
        coversFormerLeases |= listReceived && end == fullEnd;
        latestSentEnd = OptionalLong.of(Math.max(end, latestSentEnd.orElse(end)));
        return OptionalLong.of(end);
    }

    /**
     * The time after which a worker that does not answer runs nothing, for the next report. Telling
     * it is a promise to send no later end. It is unknown while a former agent process may have
     * sent a later end than this one.
     *
     * @return milliseconds of the worker's clock, empty while the worker answers
     */
    OptionalLong promiseTimeLeft(long nowMillis) {
        OptionalLong clock = workerClock(nowMillis);
        if (responsive || !coversFormerLeases || clock.isEmpty()) {
            return OptionalLong.empty();
        }
        promised = true;
        return OptionalLong.of(Math.max(0, latestSentEnd.orElseThrow() - clock.getAsLong()));
    }
}
