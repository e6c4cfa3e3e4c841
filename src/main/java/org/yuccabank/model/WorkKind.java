package org.yuccabank.model;

import java.util.Objects;

/**
 * Kind of work, such as {@code preview} or {@code render}; rules and interference go by it.
 * Immutable.
 *
 * @param value the text of the identifier, not empty
 */
public record WorkKind(String value) implements Comparable<WorkKind> {

    /** Checks the text. */
    public WorkKind {
        Objects.requireNonNull(value, "value is null");
        if (value.isEmpty()) {
            throw new IllegalArgumentException("value is empty");
        }
    }

    /**
     * Creates an identifier.
     *
     * @param value its text
     * @return the identifier
     */
    public static WorkKind of(String value) {
        return new WorkKind(value);
    }

    @Override
    public int compareTo(WorkKind other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
