package org.yuccabank.policy.routing;

import org.yuccabank.model.TargetId;

/**
 * State of one target as observed by one entry: the entry's own requests in progress, and the load
 * and service time from recent answers, which decay towards the averages of all targets. Mutable;
 * not thread-safe.
 */
final class TargetView {

    /** Age at which a reported load is fully replaced by the average of all targets. */
    private static final long LOAD_DECAY_MILLIS = 200;

    /**
     * Age after which a measured service time is ignored, so that a slow target gets one request;
     * its answer replaces the old estimate.
     */
    private static final long SERVICE_TIME_EXPIRY_MILLIS = 5000;

    /** Weight of a new service time; lower weights react too slowly to a slowdown. */
    private static final double SERVICE_SMOOTHING_FACTOR = 1.0 / 16;

    /**
     * Minimum ratio to the fleet average at which a target's own service time is used. Smaller
     * differences are mostly noise, and acting on them costs more than the delay to a distant
     * target.
     */
    private static final double SIGNIFICANT_SERVICE_RATIO = 1.5;

    /** Time for which a target is avoided after its agent refused a request. */
    private static final long REFUSAL_AVOIDANCE_MILLIS = 200;

    /** Multiple of the expected response time after which a target counts as silent. */
    private static final double SILENCE_FACTOR = 4;

    /** A shorter silence is normal for any service time. */
    private static final double MINIMUM_SILENCE_MICROS = 50_000;

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

    /** Records the end of an attempt and the load and service time if the response carries them. */
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
     * Returns whether the agent recently refused a request. Such a target appears idle, because
     * refused requests do not occupy it, and would otherwise attract requests.
     */
    boolean hasRecentRefusal(long nowMillis) {
        return nowMillis < refusedUntilMillis;
    }

    private void updateServiceTime(double sample, boolean ageing, long nowMillis) {
        boolean isExpired = ageing && nowMillis - lastResponseMillis > SERVICE_TIME_EXPIRY_MILLIS;
        double weight = serviceMicros == 0 || isExpired ? 1 : SERVICE_SMOOTHING_FACTOR;
        serviceMicros += weight * (sample - serviceMicros);
    }

    /** Returns the expected number of requests at the target, running or waiting. */
    double load(FleetAverages fleet, boolean ageing, long nowMillis) {
        if (!ageing) {
            return inFlight + externalLoad;
        }
        double freshness =
                Math.max(0, 1 - (double) (nowMillis - lastResponseMillis) / LOAD_DECAY_MILLIS);
        return inFlight + freshness * externalLoad + (1 - freshness) * fleet.externalLoad();
    }

    /** Returns the fleet's service time, or the target's own if it differs significantly. */
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

    /** Returns how long the target has been silent, 0 if not longer than normal. */
    double overdueMicros(double expectedMicros, long nowMillis) {
        if (inFlight == 0) {
            return 0;
        }
        double silentMicros = (nowMillis - silentSinceMillis) * 1000.0;
        double limitMicros = Math.max(MINIMUM_SILENCE_MICROS, SILENCE_FACTOR * expectedMicros);
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

    /** Excludes the target, doubling the duration each time until a request succeeds. */
    void exclude(long initialMillis, long maximumMillis, long nowMillis) {
        long durationMillis = Math.min(maximumMillis, initialMillis << Math.min(exclusions, 10));
        exclusions++;
        consecutiveFailures = 0;
        excludedUntilMillis = nowMillis + durationMillis;
    }

    long excludedUntilMillis() {
        return excludedUntilMillis;
    }
}
