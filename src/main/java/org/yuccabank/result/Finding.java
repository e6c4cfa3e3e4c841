package org.yuccabank.result;

import java.util.Objects;

/**
 * One fault in an input. Immutable.
 *
 * @param position where the fault is
 * @param message what is wrong and what would be right
 */
public record Finding(SourcePosition position, String message) {

    /** Checks the parts. */
    public Finding {
        Objects.requireNonNull(position, "place is null");
        Objects.requireNonNull(message, "message is null");
    }

    @Override
    public String toString() {
        return position + ": " + message;
    }
}
