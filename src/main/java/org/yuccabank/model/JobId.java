package org.yuccabank.model;

import java.util.Objects;

/**
 * Identifier of a batch job. Immutable.
 *
 * @param value text of the identifier, not empty
 */
public record JobId(String value) implements Comparable<JobId> {

    /** Validates the text. */
    public JobId {
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
    public static JobId of(String value) {
        return new JobId(value);
    }

    @Override
    public int compareTo(JobId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
