package org.yuccabank.policy.routing;

import java.util.Objects;

/**
 * How an attempt ended, with the load of the target that the answer carried. Immutable.
 *
 * @param kind how it ended
 * @param occupancy requests at the target, running or waiting, when it sent the answer; not
 *     meaningful for {@link Kind#NO_RESPONSE} and {@link Kind#UNREACHABLE}
 * @param serviceMicros time that the request ran at the target, without waiting; meaningful for
 *     {@link Kind#RAN} only
 */
public record Response(Kind kind, int occupancy, long serviceMicros) {

    /** How an attempt ended. */
    public enum Kind {
        /** The request ran and its complete answer arrived. */
        RAN,
        /** The request ran, and the target answered with an error of its own. */
        FAILED,
        /** The agent refused it before dispatch; it did not run. */
        REFUSED,
        /** No connection could be opened; it did not run. */
        UNREACHABLE,
        /** Sent, but no answer came in time; it may have run. */
        NO_RESPONSE,
        /** The entry gave up an attempt whose answer it no longer needs; says nothing of it. */
        ABANDONED
    }

    /** Checks the parts. */
    public Response {
        Objects.requireNonNull(kind, "kind is null");
    }

    /**
     * A complete answer.
     *
     * @param occupancy requests at the target when it answered
     * @param serviceMicros time that the request ran
     * @return the response
     */
    public static Response ran(int occupancy, long serviceMicros) {
        return new Response(Kind.RAN, occupancy, serviceMicros);
    }

    /**
     * A refusal by the agent.
     *
     * @param occupancy requests at the target when the agent refused
     * @return the response
     */
    public static Response refused(int occupancy) {
        return new Response(Kind.REFUSED, occupancy, 0);
    }

    /**
     * An end without an answer.
     *
     * @param kind how it ended
     * @return the response
     */
    public static Response without(Kind kind) {
        return new Response(kind, 0, 0);
    }

    /**
     * Tells whether the attempt is known not to have run.
     *
     * @return true with evidence of "not run"
     */
    public boolean isEvidenceOfNotRun() {
        return kind == Kind.REFUSED || kind == Kind.UNREACHABLE;
    }

    /**
     * Tells whether the target itself sent this response.
     *
     * @return true if its load is meaningful
     */
    public boolean carriesLoad() {
        return kind == Kind.RAN || kind == Kind.FAILED || kind == Kind.REFUSED;
    }
}
