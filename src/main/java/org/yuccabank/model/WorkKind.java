package org.yuccabank.model;

import java.util.Objects;

/**
 * Kind of work, such as {@code preview} or {@code render}, to which rules and interference
 * estimates apply. Immutable.
 *
 * @param value text of the identifier, not empty
 */
public record WorkKind(String value) implements Comparable<WorkKind> {

    /** Validates the text. */
    public WorkKind {
        Objects.requireNonNull(value, "value is null");
        if (value.isEmpty()) {
            throw new IllegalArgumentException("value is empty");
        }
    }

    /**
     * Creates an identifier.
     *
     * @param value text of the identifier
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
