package org.yuccabank.model;

import java.util.Objects;

/**
 * Identifier of a task, unique over the lifetime of the system. Immutable.
 *
 * @param value text of the identifier, not empty
 */
public record TaskId(String value) implements Comparable<TaskId> {

    /** Validates the text. */
    public TaskId {
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
    public static TaskId of(String value) {
        return new TaskId(value);
    }

    @Override
    public int compareTo(TaskId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
