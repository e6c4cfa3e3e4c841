package org.yuccabank.policy.routing;

import java.util.Objects;
import org.yuccabank.model.TargetId;

/**
 * A selected target with the expected duration of the request. Immutable.
 *
 * @param target the target
 * @param waitMicros expected wait for a slot at the target, in microseconds
 * @param serviceMicros expected service time at the target, in microseconds; 0 if unknown
 * @param networkMicros round-trip network delay, in microseconds
 */
public record Route(TargetId target, long waitMicros, long serviceMicros, long networkMicros) {

    /** Validates the components. */
    public Route {
        Objects.requireNonNull(target, "target is null");
    }

    /**
     * Returns the expected time until the answer.
     *
     * @return the sum of wait, service time and network delay, in microseconds
     */
    public long totalMicros() {
        return waitMicros + serviceMicros + networkMicros;
    }
}
