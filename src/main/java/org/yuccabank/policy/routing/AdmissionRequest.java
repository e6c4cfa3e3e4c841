package org.yuccabank.policy.routing;

import java.util.Objects;
import org.yuccabank.model.AccountId;

/**
 * A request to be admitted. Immutable.
 *
 * @param account account of the request
 * @param priority priority, 1 (lowest) to 9 (highest)
 * @param deadline deadline for the answer
 * @param route route selected by the router
 */
public record AdmissionRequest(AccountId account, int priority, Deadline deadline, Route route) {

    public static final int LOWEST_PRIORITY = 1;

    public static final int HIGHEST_PRIORITY = 9;

    /** Validates the components. */
    public AdmissionRequest {
        Objects.requireNonNull(account, "account is null");
        Objects.requireNonNull(deadline, "deadline is null");
        Objects.requireNonNull(route, "route is null");
        if (priority < LOWEST_PRIORITY || priority > HIGHEST_PRIORITY) {
            throw new IllegalArgumentException("priority must be from 1 to 9 but is " + priority);
        }
    }
}
