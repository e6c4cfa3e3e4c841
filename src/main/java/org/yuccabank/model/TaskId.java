package org.yuccabank.model;

import java.util.Objects;

/**
 * Identifier of a task, unique over the life of the system. Immutable.
 *
 * @param value the text of the identifier, not empty
 */
public record TaskId(String value) implements Comparable<TaskId> {

    /** Checks the text. */
    public TaskId {
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
