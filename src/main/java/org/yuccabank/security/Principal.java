package org.yuccabank.security;

import java.util.Objects;
import org.yuccabank.model.AccountId;

/**
 * Authenticated sender of a request. Immutable.
 *
 * @param account its account
 * @param operator true if it may change the configuration and see the work of every account
 */
public record Principal(AccountId account, boolean operator) {

    /** Checks the parts. */
    public Principal {
        Objects.requireNonNull(account, "account is null");
    }
}
