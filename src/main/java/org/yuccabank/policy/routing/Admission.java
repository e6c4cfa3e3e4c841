package org.yuccabank.policy.routing;

import java.util.Objects;

/** Admission decision on a request, made before any dispatch. */
public sealed interface Admission {

    /** The request may be sent. */
    record Admitted() implements Admission {}

    /**
     * The request is refused; it has not run and will not run.
     *
     * @param reason reason of the refusal
     * @param retryAfterMillis delay in milliseconds after which a retry may succeed, at least 1
     */
    record Refused(Reason reason, long retryAfterMillis) implements Admission {
        /** Validates the components. */
        public Refused {
            Objects.requireNonNull(reason, "reason is null");
            if (retryAfterMillis < 1) {
                throw new IllegalArgumentException(
                        "retryAfterMillis must be at least 1 but is " + retryAfterMillis);
            }
        }
    }

    /** Reason of a refusal. */
    enum Reason {
        /** No target can accept the request. */
        NO_TARGET,
        /** No answer is expected before the deadline. */
        DEADLINE,
        /** Requests are queued, and requests of higher priority take precedence. */
        PRIORITY,
        /** Requests are queued, and the account already exceeds its fair share. */
        FAIR_SHARE
    }

    /**
     * Returns a decision that admits the request.
     *
     * @return the decision
     */
    static Admission admitted() {
        return new Admitted();
    }

    /**
     * Returns a decision that refuses the request.
     *
     * @param reason reason of the refusal
     * @param retryAfterMillis delay in milliseconds after which a retry may succeed, at least 1
     * @return the decision
     */
    static Admission refused(Reason reason, long retryAfterMillis) {
        return new Refused(reason, retryAfterMillis);
    }
}
