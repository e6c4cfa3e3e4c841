package org.yuccabank.policy.routing;

import java.util.Objects;
import org.yuccabank.model.TargetId;

/**
 * A chosen target with the time that the choice expects the request to take. Immutable.
 *
 * @param target the target
 * @param waitMicros expected wait for a slot at the target, in microseconds
 * @param serviceMicros expected service time at the target, in microseconds; 0 if never measured
 * @param networkMicros network delay of request and answer together, in microseconds
 */
public record Route(TargetId target, long waitMicros, long serviceMicros, long networkMicros) {

    /** Checks the parts. */
    public Route {
        Objects.requireNonNull(target, "target is null");
    }

    /**
     * Expected time until the answer.
     *
     * @return the sum of wait, service time and network delay, in microseconds
     */
    public long totalMicros() {
        return waitMicros + serviceMicros + networkMicros;
    }
}
