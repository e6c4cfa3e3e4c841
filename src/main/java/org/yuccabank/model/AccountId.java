package org.yuccabank.model;

import java.util.Objects;

/**
 * Identifier of an account: a client or team with a quota. Immutable.
 *
 * @param value text of the identifier, not empty
 */
public record AccountId(String value) implements Comparable<AccountId> {

    /** Validates the text. */
    public AccountId {
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
    public static AccountId of(String value) {
        return new AccountId(value);
    }

    @Override
    public int compareTo(AccountId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
