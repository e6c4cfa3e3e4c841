package org.yuccabank.rules;

import java.util.Objects;
import org.yuccabank.model.Resources;

/**
 * Resource quota of an account. Immutable.
 *
 * @param limit resources that the account may hold concurrently
 * @param weight weight in the fair share, at least 1
 */
public record Quota(Resources limit, int weight) {

    /** Validates the components. */
    public Quota {
        Objects.requireNonNull(limit, "limit is null");
        if (weight < 1) {
            throw new IllegalArgumentException("weight must be at least 1, not " + weight);
        }
    }
}
