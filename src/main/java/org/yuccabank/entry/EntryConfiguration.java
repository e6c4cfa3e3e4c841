package org.yuccabank.entry;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Objects;

/**
 * Configuration of an entry process. Immutable.
 *
 * @param processId identifier of the process
 * @param dataCentre data centre of the process
 * @param httpAddress listen address for callers and operators
 * @param administrationAddress listen address for metrics and health checks
 * @param controlAddresses addresses of the control processes
 * @param configurationLeaseMillis time without a directory from control after which at-most-once
 *     requests are refused
 * @param serveIdempotentWithoutControl whether idempotent requests are still served after that time
 * @param retryBudgetPercent retries allowed per 100 requests
 * @param drainTimeoutMillis maximum time to finish requests in progress on shutdown, 0 for no limit
 */
public record EntryConfiguration(
        String processId,
        String dataCentre,
        InetSocketAddress httpAddress,
        InetSocketAddress administrationAddress,
        List<InetSocketAddress> controlAddresses,
        long configurationLeaseMillis,
        boolean serveIdempotentWithoutControl,
        int retryBudgetPercent,
        long drainTimeoutMillis) {

    /** Validates that the required components are not null. */
    public EntryConfiguration {
        Objects.requireNonNull(processId, "processId is null");
        Objects.requireNonNull(dataCentre, "dataCentre is null");
        Objects.requireNonNull(httpAddress, "httpAddress is null");
        Objects.requireNonNull(administrationAddress, "administrationAddress is null");
        controlAddresses = List.copyOf(controlAddresses);
    }
}
