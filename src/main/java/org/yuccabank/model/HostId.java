package org.yuccabank.model;

import java.util.Objects;

/**
 * Identifier of a host. Immutable.
 *
 * @param value text of the identifier, not empty
 */
public record HostId(String value) implements Comparable<HostId> {

    /** Validates the text. */
    public HostId {
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
    public static HostId of(String value) {
        return new HostId(value);
    }

    @Override
    public int compareTo(HostId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
