package org.yuccabank.security;

import java.util.Objects;
import org.yuccabank.model.AccountId;

/**
 * Authenticated sender of a request. Immutable.
 *
 * @param account account of the sender
 * @param operator whether the sender may change the configuration and see the work of all accounts
 */
public record Principal(AccountId account, boolean operator) {

    /** Validates the components. */
    public Principal {
        Objects.requireNonNull(account, "account is null");
    }
}
