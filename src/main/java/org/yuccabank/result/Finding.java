package org.yuccabank.result;

import java.util.Objects;

/**
 * One fault in an input. Immutable.
 *
 * @param place where the fault is
 * @param message what is wrong and what would be right
 */
public record Finding(Place place, String message) {

    /** Checks the parts. */
    public Finding {
        Objects.requireNonNull(place, "place is null");
        Objects.requireNonNull(message, "message is null");
    }

    @Override
    public String toString() {
        return place + ": " + message;
    }
}
