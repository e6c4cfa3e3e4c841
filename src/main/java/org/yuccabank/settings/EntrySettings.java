package org.yuccabank.settings;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Optional;

/**
 * Settings of the role entry. Immutable.
 *
 * @param process settings that every role has
 * @param httpAddress where the process listens for callers and operators
 * @param administrationAddress where it serves metrics and health
 * @param controlAddresses inner protocol addresses of the control processes
 * @param credentialsFile accounts of the callers, empty only if security is off
 * @param withoutControl what happens to idempotent requests without contact to control
 * @param configurationLease time without contact after which other work is refused
 * @param retryBudgetPercent retries as a share of requests
 * @param maximumBodyBytes largest request body
 * @param maximumRequestsInProgress requests in progress after which new ones are refused
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

    /** Copies the list. */
    public EntrySettings {
        controlAddresses = List.copyOf(controlAddresses);
    }

    /** What happens to idempotent requests while control cannot be reached. */
    public enum WithoutControl {
        /** They are served under the last known configuration. */
        SERVE_IDEMPOTENT,
        /** They are refused. */
        REFUSE
    }
}
