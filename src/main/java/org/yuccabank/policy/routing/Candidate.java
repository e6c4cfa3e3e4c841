package org.yuccabank.policy.routing;

import java.util.Objects;
import org.yuccabank.model.TargetId;

/**
 * A target as listed in the directory. Immutable.
 *
 * @param target the target
 * @param oneWayMicros one-way network delay from this entry to the target, in microseconds; the
 *     targets with the lowest delay are the nearest
 * @param slots maximum number of requests that the target runs concurrently, at least 1
 * @param connections maximum number of requests at the target, running or waiting
 * @param state whether the target accepts new work
 */
public record Candidate(
        TargetId target, long oneWayMicros, int slots, int connections, State state) {

    /** The state of a target, which determines whether it gets new work. */
    public enum State {
        /** The target is registered and reports. */
        READY,
        /** Control has received no recent report; the target gets work only if no other can. */
        SUSPECT,
        /** The target has announced that it is leaving and gets no new work. */
        LEAVING
    }

    /** Validates the components. */
    public Candidate {
        Objects.requireNonNull(target, "target is null");
        Objects.requireNonNull(state, "state is null");
        if (slots < 1 || connections < slots) {
            throw new IllegalArgumentException(
                    "must satisfy 1 <= slots <= connections but slots is "
                            + slots
                            + " and connections is "
                            + connections);
        }
    }

    /**
     * Returns a copy in another state.
     *
     * @param newState the state
     * @return the copy
     */
    public Candidate with(State newState) {
        return new Candidate(target, oneWayMicros, slots, connections, newState);
    }
}
