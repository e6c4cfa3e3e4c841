package org.yuccabank.result;

import java.util.Objects;

/**
 * One error in an input. Immutable.
 *
 * @param position position of the error
 * @param message description of the error and of the expected input
 */
public record Finding(SourcePosition position, String message) {

    /** Validates the components. */
    public Finding {
        Objects.requireNonNull(position, "position is null");
        Objects.requireNonNull(message, "message is null");
    }

    @Override
    public String toString() {
        return position + ": " + message;
    }
}
