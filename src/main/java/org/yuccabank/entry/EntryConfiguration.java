package org.yuccabank.entry;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Objects;

/**
 * What an entry process needs to start. Immutable.
 *
 * @param processId identifier of the process
 * @param dataCentre data centre of the process
 * @param httpAddress address for callers and operators
 * @param administrationAddress address for metrics and health
 * @param controlAddresses addresses of the control processes
 * @param configurationLeaseMillis time without contact to control after which at-most-once requests
 *     and jobs are refused
 * @param serveIdempotentWithoutControl whether idempotent requests are served after that time
 * @param retryBudgetPercent extra attempts allowed for 100 requests
 * @param drainTimeoutMillis longest time to finish requests at a stop, 0 for no bound
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

    /** Checks the parts. */
    public EntryConfiguration {
        Objects.requireNonNull(processId, "processId is null");
        Objects.requireNonNull(dataCentre, "dataCentre is null");
        Objects.requireNonNull(httpAddress, "httpAddress is null");
        Objects.requireNonNull(administrationAddress, "administrationAddress is null");
        controlAddresses = List.copyOf(controlAddresses);
    }
}
