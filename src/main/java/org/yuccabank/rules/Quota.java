package org.yuccabank.rules;

import java.util.Objects;
import org.yuccabank.model.Resources;

/**
 * What an account may claim. Immutable.
 *
 * @param limit resources that the account may hold at one time
 * @param weight weight of the account's fair share, at least 1
 */
public record Quota(Resources limit, int weight) {

    /** Checks the parts. */
    public Quota {
        Objects.requireNonNull(limit, "limit is null");
        if (weight < 1) {
            throw new IllegalArgumentException("weight must be at least 1");
        }
    }
}
