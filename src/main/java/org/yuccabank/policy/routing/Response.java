package org.yuccabank.policy.routing;

import java.util.Objects;

/**
 * Result of an attempt, with the load that the target reported in its answer. Immutable.
 *
 * @param kind kind of the result
 * @param occupancy requests at the target, running or waiting, when it sent the answer; meaningful
 *     only if {@link #carriesLoad}
 * @param serviceMicros run time of the request at the target without waiting, in microseconds;
 *     meaningful for {@link Kind#RAN} only
 */
public record Response(Kind kind, int occupancy, long serviceMicros) {

    /** Kind of result of an attempt. */
    public enum Kind {
        /** The request ran and its answer arrived completely. */
        RAN,
        /** The request ran and the target answered with an error. */
        FAILED,
        /** The agent refused the request before dispatch; it did not run. */
        REFUSED,
        /** No connection could be opened; the request did not run. */
        UNREACHABLE,
        /** The request was sent but no answer arrived in time; it may have run. */
        NO_RESPONSE,
        /** The entry abandoned the attempt because it needs no answer; the result is unknown. */
        ABANDONED
    }

    /** Validates the components. */
    public Response {
        Objects.requireNonNull(kind, "kind is null");
    }

    /**
     * Returns the response of a request that ran.
     *
     * @param occupancy requests at the target when it answered
     * @param serviceMicros run time of the request, in microseconds
     * @return the response
     */
    public static Response ran(int occupancy, long serviceMicros) {
        return new Response(Kind.RAN, occupancy, serviceMicros);
    }

    /**
     * Returns the response of a request that the agent refused.
     *
     * @param occupancy requests at the target when the agent refused
     * @return the response
     */
    public static Response refused(int occupancy) {
        return new Response(Kind.REFUSED, occupancy, 0);
    }

    /**
     * Returns a response without load or service time.
     *
     * @param kind kind of the result
     * @return the response
     */
    public static Response without(Kind kind) {
        return new Response(kind, 0, 0);
    }

    /**
     * Returns whether the attempt is known not to have run.
     *
     * @return true if there is evidence that it did not run
     */
    public boolean isEvidenceOfNotRun() {
        return kind == Kind.REFUSED || kind == Kind.UNREACHABLE;
    }

    /**
     * Returns whether the response carries the load of the target.
     *
     * @return true if the occupancy is meaningful
     */
    public boolean carriesLoad() {
        return kind == Kind.RAN || kind == Kind.FAILED || kind == Kind.REFUSED;
    }
}
