package org.yuccabank.agent;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Objects;

/**
 * Startup configuration of an agent. Immutable.
 *
 * @param processId identifier of the process
 * @param hostId identifier of the host
 * @param dataCentre data centre of the host
 * @param rack rack of the host
 * @param listenAddress listen address of the peer protocol, reachable from entries
 * @param administrationAddress listen address of the metrics and health endpoints
 * @param announcementAddress loopback listen address for the target's announcements
 * @param workerAddress address of the worker's HTTP API
 * @param controlAddresses addresses of the control hosts
 * @param limits intervals, timeouts and limits
 */
public record AgentConfiguration(
        String processId,
        String hostId,
        String dataCentre,
        String rack,
        InetSocketAddress listenAddress,
        InetSocketAddress administrationAddress,
        InetSocketAddress announcementAddress,
        InetSocketAddress workerAddress,
        List<InetSocketAddress> controlAddresses,
        Limits limits) {

    /**
     * Validates and copies the components.
     *
     * @throws IllegalArgumentException if there is no control address
     */
    public AgentConfiguration {
        Objects.requireNonNull(processId, "processId is null");
        Objects.requireNonNull(hostId, "hostId is null");
        Objects.requireNonNull(limits, "limits is null");
        controlAddresses = List.copyOf(controlAddresses);
        if (controlAddresses.isEmpty()) {
            throw new IllegalArgumentException("an agent needs at least one control address");
        }
    }

    /**
     * Returns the address under which entries reach this agent.
     *
     * @return the address as {@code host:port}
     */
    public String advertisedAddress() {
        return listenAddress.getHostString() + ":" + listenAddress.getPort();
    }

    /**
     * Returns a copy with the actual listen address, whose port the operating system may have
     * chosen.
     *
     * @param bound the bound address
     * @return the copy
     */
    AgentConfiguration withListenAddress(InetSocketAddress bound) {
        return new AgentConfiguration(
                processId,
                hostId,
                dataCentre,
                rack,
                bound,
                administrationAddress,
                announcementAddress,
                workerAddress,
                controlAddresses,
                limits);
    }

    /**
     * Intervals, timeouts and limits of an agent.
     *
     * @param reportIntervalMillis interval between reports to control
     * @param configurationLeaseMillis time without a confirmation from control after which
     *     at-most-once requests and new tasks are refused
     * @param clockDriftPercent maximum difference between clock rates that leases tolerate
     * @param serveIdempotentWithoutControl whether idempotent requests are served while control is
     *     unreachable
     * @param drainTimeoutMillis maximum wait for work in progress during shutdown, 0 for no limit
     */
    public record Limits(
            long reportIntervalMillis,
            long configurationLeaseMillis,
            int clockDriftPercent,
            boolean serveIdempotentWithoutControl,
            long drainTimeoutMillis) {

        /**
         * Returns the documented defaults.
         *
         * @return a report every second, a configuration lease of 3 s, a drift of 10 %, idempotent
         *     requests served without control, no drain timeout
         */
        public static Limits defaults() {
            return new Limits(1_000, 3_000, 10, true, 0);
        }
    }
}
