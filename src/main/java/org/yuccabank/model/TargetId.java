package org.yuccabank.model;

import java.util.Objects;

/**
 * Identifier of a target: one instance of a service. Immutable.
 *
 * @param value text of the identifier, not empty
 */
public record TargetId(String value) implements Comparable<TargetId> {

    /** Validates the text. */
    public TargetId {
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
    public static TargetId of(String value) {
        return new TargetId(value);
    }

    @Override
    public int compareTo(TargetId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
