package org.yuccabank.agent.workflow;

import java.util.OptionalLong;

/**
 * The lease of a worker, measured on the worker's clock.
 *
 * <p>Invariant: a lease that is granted ends no later than the lease duration after the report that
 * the leader answered was sent, as the sample of the worker's clock was taken before its receipt.
 * Confined to the thread of the agent; times without other notice are of its steady clock.
 */
final class WorkerLease {

    private final long durationMillis;
    private long grantedAtMillis = Long.MIN_VALUE;
    private long clockMillis;
    private long sampledAtMillis = Long.MIN_VALUE;

    WorkerLease(long durationMillis) {
        this.durationMillis = durationMillis;
    }

    /** The leader has answered a report that was sent at this time. */
    void grant(long reportSentMillis) {
        grantedAtMillis = Math.max(grantedAtMillis, reportSentMillis);
    }

    /** The worker's clock, as an answer told it that was received at this time. */
    void sample(long workerClockMillis, long receivedMillis) {
        clockMillis = workerClockMillis;
        sampledAtMillis = receivedMillis;
    }

    /** A new incarnation has a clock of its own. */
    void reset() {
        sampledAtMillis = Long.MIN_VALUE;
    }

    /** End of the lease on the worker's clock, empty if it is over or the clock is unknown. */
    OptionalLong endOnWorkerClock(long nowMillis) {
        if (sampledAtMillis == Long.MIN_VALUE
                || grantedAtMillis == Long.MIN_VALUE
                || nowMillis - grantedAtMillis >= durationMillis) {
            return OptionalLong.empty();
        }
        return OptionalLong.of(clockMillis + grantedAtMillis - sampledAtMillis + durationMillis);
    }
}
