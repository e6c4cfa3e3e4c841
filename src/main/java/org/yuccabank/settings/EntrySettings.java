package org.yuccabank.settings;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Optional;

/**
 * Settings of the entry role. Immutable.
 *
 * @param process settings that all roles share
 * @param httpAddress HTTP listen address for callers and operators
 * @param administrationAddress listen address of metrics and health checks
 * @param controlAddresses peer protocol addresses of the control processes
 * @param credentialsFile credentials of the callers, empty only if security is off
 * @param withoutControl handling of idempotent requests while control is unreachable
 * @param configurationLease time without contact to control after which it counts as unreachable
 *     and at-most-once requests are refused
 * @param retryBudgetPercent maximum ratio of retries to requests
 * @param maximumBodyBytes maximum size of a request body
 * @param maximumRequestsInProgress maximum number of requests in progress; further ones are refused
 */
public record EntrySettings(
        ProcessSettings process,
        InetSocketAddress httpAddress,
        InetSocketAddress administrationAddress,
        List<InetSocketAddress> controlAddresses,
        Optional<Path> credentialsFile,
        WithoutControl withoutControl,
        Duration configurationLease,
        int retryBudgetPercent,
        int maximumBodyBytes,
        int maximumRequestsInProgress) {

    /** Copies the list of addresses. */
    public EntrySettings {
        controlAddresses = List.copyOf(controlAddresses);
    }

    /** Handling of idempotent requests while control is unreachable. */
    public enum WithoutControl {
        /** Serves the requests with the last known configuration. */
        SERVE_IDEMPOTENT,
        /** Refuses the requests. */
        REFUSE
    }
}
