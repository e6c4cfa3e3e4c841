package org.yuccabank.policy.routing;

import java.util.Objects;
import org.yuccabank.model.TargetId;

/**
 * What the directory says about a target. Immutable.
 *
 * @param target the target
 * @param oneWayMicros one-way network delay from this entry to the target in microseconds; targets
 *     with the least delay are the near ones
 * @param slots number of requests that the target runs at a time, at least 1
 * @param connections number of requests that the target holds at a time, running or waiting
 * @param state whether the target takes new work
 */
public record Candidate(
        TargetId target, long oneWayMicros, int slots, int connections, State state) {

    /** Whether a target takes new work. */
    public enum State {
        /** It announced itself and reports. */
        READY,
        /** Control has had no report for some time; it gets work only if no target is ready. */
        SUSPECT,
        /** It announced that it is leaving; it gets no new work. */
        LEAVING
    }

    /** Checks the parts. */
    public Candidate {
        Objects.requireNonNull(target, "target is null");
        Objects.requireNonNull(state, "state is null");
        if (slots < 1 || connections < slots) {
            throw new IllegalArgumentException("needs 1 <= slots <= connections");
        }
    }

    /**
     * The same target in another state.
     *
     * @param newState the state
     * @return the changed copy
     */
    public Candidate with(State newState) {
        return new Candidate(target, oneWayMicros, slots, connections, newState);
    }
}
