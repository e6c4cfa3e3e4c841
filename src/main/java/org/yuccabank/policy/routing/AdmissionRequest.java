package org.yuccabank.policy.routing;

import java.util.Objects;
import org.yuccabank.model.AccountId;

/**
 * A request that asks to be admitted. Immutable.
 *
 * @param account whose request it is
 * @param priority 1 (lowest) to 9 (highest)
 * @param deadline when the answer stops being of use
 * @param route where the router would send it
 */
public record AdmissionRequest(AccountId account, int priority, Deadline deadline, Route route) {

    /** Lowest priority. */
    public static final int LOWEST_PRIORITY = 1;

    /** Highest priority. */
    public static final int HIGHEST_PRIORITY = 9;

    /** Checks the parts. */
    public AdmissionRequest {
        Objects.requireNonNull(account, "account is null");
        Objects.requireNonNull(deadline, "deadline is null");
        Objects.requireNonNull(route, "route is null");
        if (priority < LOWEST_PRIORITY || priority > HIGHEST_PRIORITY) {
            throw new IllegalArgumentException("priority must be from 1 to 9");
        }
    }
}
