package org.yuccabank.entry;

import com.google.protobuf.ByteString;
import java.util.Objects;
import org.yuccabank.model.AccountId;
import org.yuccabank.model.WorkKind;
import org.yuccabank.policy.routing.Deadline;

/**
 * A caller's request to a service. Immutable.
 *
 * @param requestId idempotency key of the caller, or a generated identifier
 * @param account account of the caller
 * @param service name of the service
 * @param kind kind of work
 * @param atMostOnce whether the request must not run twice
 * @param priority 1 (lowest) to 9 (highest)
 * @param deadline time by which the caller needs the response
 * @param contentType content type of the body
 * @param body body that is sent to the target
 */
record ServiceRequest(
        String requestId,
        AccountId account,
        String service,
        WorkKind kind,
        boolean atMostOnce,
        int priority,
        Deadline deadline,
        String contentType,
        ByteString body) {

    /** Validates that the required components are not null. */
    ServiceRequest {
        Objects.requireNonNull(requestId, "requestId is null");
        Objects.requireNonNull(account, "account is null");
        Objects.requireNonNull(deadline, "deadline is null");
        Objects.requireNonNull(body, "body is null");
    }
}
