package org.yuccabank.policy.routing;

import java.util.Objects;

/** Decision about a request before any dispatch. */
public sealed interface Admission {

    /** The request may be sent. */
    record Admitted() implements Admission {}

    /**
     * The request is refused; it has not run and will not run.
     *
     * @param reason why
     * @param retryAfterMillis when trying again may succeed, at least 1
     */
    record Refused(Reason reason, long retryAfterMillis) implements Admission {
        /** Checks the parts. */
        public Refused {
            Objects.requireNonNull(reason, "reason is null");
            if (retryAfterMillis < 1) {
                throw new IllegalArgumentException("retryAfterMillis must be at least 1");
            }
        }
    }

    /** Why a request is refused. */
    enum Reason {
        /** No target may take the request. */
        NO_TARGET,
        /** No answer can be expected before the deadline. */
        DEADLINE,
        /** Requests wait, and requests of higher priority take precedence. */
        PRIORITY,
        /** Requests wait, and the account already has its fair share in progress. */
        FAIR_SHARE
    }

    /**
     * The positive decision.
     *
     * @return an admission
     */
    static Admission admitted() {
        return new Admitted();
    }

    /**
     * A negative decision.
     *
     * @param reason why
     * @param retryAfterMillis when trying again may succeed
     * @return the refusal
     */
    static Admission refused(Reason reason, long retryAfterMillis) {
        return new Refused(reason, retryAfterMillis);
    }
}
