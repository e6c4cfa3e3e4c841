package org.yuccabank.policy.routing;

import org.yuccabank.model.TargetId;

/**
 * What one entry knows of one target: its own requests in progress there, and the load and service
 * time of the latest answers, which fade towards the averages of all targets. Mutable; not
 * thread-safe.
 */
final class TargetView {

    /** Age at which a reported load says no more than the average of all targets. */
    private static final long LOAD_DECAY_MILLIS = 200;

    /**
     * Age after which a measured service time no longer keeps a target from getting a request; it
     * gets one, and its answer replaces the old estimate.
     */
    private static final long SERVICE_TIME_EXPIRY_MILLIS = 5000;

    /** Weight of one service time; lower ones follow a slowdown too slowly. */
    private static final double SERVICE_SMOOTHING_FACTOR = 1.0 / 16;

    /**
     * Factor by which a target's service time must differ from that of all to count. Smaller
     * differences are mostly chance, and following them costs more than a way to a far target.
     */
    private static final double SIGNIFICANT_SERVICE_RATIO = 1.5;

    /** Time for which a target is avoided after its agent refused a request, in milliseconds. */
    private static final long REFUSAL_AVOIDANCE_MILLIS = 200;

    /** A target is silent when nothing was heard for this multiple of the expected time. */
    private static final double SILENCE_FACTOR = 4;

    /** Silence shorter than this is normal whatever the service time, in microseconds. */
    private static final double MIN_SILENCE_MICROS = 50_000;

    private Candidate candidate;
    private int inFlight;
    private double externalLoad;
    private double serviceMicros;
    private long lastResponseMillis;
    private long silentSinceMillis;
    private long refusedUntilMillis;
    private int consecutiveFailures;
    private int exclusions;
    private long excludedUntilMillis;

    TargetView(Candidate candidate, long nowMillis) {
        this.candidate = candidate;
        this.lastResponseMillis = nowMillis - SERVICE_TIME_EXPIRY_MILLIS;
    }

    TargetId target() {
        return candidate.target();
    }

    Candidate candidate() {
        return candidate;
    }

    void update(Candidate newCandidate) {
        candidate = newCandidate;
    }

    void dispatched(long nowMillis) {
        if (inFlight == 0) {
            silentSinceMillis = nowMillis;
        }
        inFlight++;
    }

    /** Ends one attempt; returns the load that others cause if the answer tells. */
    void completed(Response response, FleetAverages fleet, boolean ageing, long nowMillis) {
        inFlight = Math.max(0, inFlight - 1);
        if (!response.carriesLoad()) {
            return;
        }
        externalLoad = Math.max(0, response.occupancy() - inFlight);
        if (response.kind() == Response.Kind.RAN) {
            updateServiceTime((double) response.serviceMicros(), ageing, nowMillis);
            fleet.add((double) response.serviceMicros(), externalLoad);
        }
        if (response.kind() == Response.Kind.REFUSED) {
            refusedUntilMillis = nowMillis + REFUSAL_AVOIDANCE_MILLIS;
        }
        lastResponseMillis = nowMillis;
        silentSinceMillis = nowMillis;
    }

    /**
     * Tells whether the agent refused a request a short time ago. Such a target looks idle, because
     * refusals free it, and would attract requests.
     */
    boolean hasRecentRefusal(long nowMillis) {
        return nowMillis < refusedUntilMillis;
    }

    private void updateServiceTime(double sample, boolean ageing, long nowMillis) {
        boolean isExpired = ageing && nowMillis - lastResponseMillis > SERVICE_TIME_EXPIRY_MILLIS;
        double weight = serviceMicros == 0 || isExpired ? 1 : SERVICE_SMOOTHING_FACTOR;
        serviceMicros += weight * (sample - serviceMicros);
    }

    /** Expected requests at the target, running or waiting. */
    double load(FleetAverages fleet, boolean ageing, long nowMillis) {
        if (!ageing) {
            return inFlight + externalLoad;
        }
        double freshness =
                Math.max(0, 1 - (double) (nowMillis - lastResponseMillis) / LOAD_DECAY_MILLIS);
        return inFlight + freshness * externalLoad + (1 - freshness) * fleet.externalLoad();
    }

    /** Expected service time: that of all targets, unless this one clearly differs. */
    double serviceMicros(FleetAverages fleet, boolean ageing, long nowMillis) {
        double ownMicros = ownServiceMicros(fleet, ageing, nowMillis);
        double all = fleet.serviceMicros();
        boolean isTypical =
                ownMicros < all * SIGNIFICANT_SERVICE_RATIO
                        && ownMicros * SIGNIFICANT_SERVICE_RATIO > all;
        return isTypical ? all : ownMicros;
    }

    private double ownServiceMicros(FleetAverages fleet, boolean ageing, long nowMillis) {
        boolean isProbe =
                ageing
                        && inFlight == 0
                        && nowMillis - lastResponseMillis > SERVICE_TIME_EXPIRY_MILLIS;
        return serviceMicros == 0 || isProbe ? fleet.serviceMicros() : serviceMicros;
    }

    /** Time for which answers are overdue, 0 while the target is not silent. */
    double overdueMicros(double expectedMicros, long nowMillis) {
        if (inFlight == 0) {
            return 0;
        }
        double silentMicros = (nowMillis - silentSinceMillis) * 1000.0;
        double limitMicros = Math.max(MIN_SILENCE_MICROS, SILENCE_FACTOR * expectedMicros);
        return silentMicros > limitMicros ? silentMicros : 0;
    }

    int inFlight() {
        return inFlight;
    }

    int consecutiveFailures() {
        return consecutiveFailures;
    }

    void failed() {
        consecutiveFailures++;
    }

    void succeeded() {
        consecutiveFailures = 0;
        exclusions = 0;
    }

    /** Excludes the target, twice as long each time until it answers again. */
    void exclude(long initialMillis, long maxMillis, long nowMillis) {
        long durationMillis = Math.min(maxMillis, initialMillis << Math.min(exclusions, 10));
        exclusions++;
        consecutiveFailures = 0;
        excludedUntilMillis = nowMillis + durationMillis;
    }

    long excludedUntilMillis() {
        return excludedUntilMillis;
    }
}
