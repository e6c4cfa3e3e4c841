package org.yuccabank.entry;

import java.util.Objects;
import org.yuccabank.model.AccountId;

/**
 * Who sent a request. Immutable.
 *
 * @param account account of the caller
 * @param operator whether the caller may change the configuration and see everything
 */
public record Caller(AccountId account, boolean operator) {

    /** Checks the parts. */
    public Caller {
        Objects.requireNonNull(account, "account is null");
    }
}
