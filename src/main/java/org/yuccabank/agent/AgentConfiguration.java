package org.yuccabank.agent;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Objects;

/**
 * What an agent needs to know before it starts. Immutable.
 *
 * @param processId identifier of the process
 * @param hostId identifier of the host
 * @param dataCentre data centre of the host
 * @param rack rack of the host
 * @param listenAddress address for the inner protocol, reachable from entries
 * @param administrationAddress address of metrics and health
 * @param announcementAddress loopback address on which the target announces itself
 * @param workerAddress address of the platform's worker interface
 * @param controlAddresses addresses of the control hosts
 * @param limits times and limits
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

    /** Checks the parts. */
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
     * Address under which entries reach this agent.
     *
     * @return host and port
     */
    public String advertisedAddress() {
        return listenAddress.getHostString() + ":" + listenAddress.getPort();
    }

    /**
     * The same configuration with the port that the system chose.
     *
     * @param bound address in use
     * @return the configuration
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
     * Times and limits of an agent.
     *
     * @param reportIntervalMillis time between two reports to control
     * @param configurationLeaseMillis time without control after which at-most-once requests and
     *     new tasks are refused
     * @param clockDriftPercent greatest difference between clock rates that leases allow for
     * @param serveIdempotentWithoutControl whether idempotent requests are served without control
     * @param drainTimeoutMillis longest wait for work in progress on a stop, 0 for no limit
     */
    public record Limits(
            long reportIntervalMillis,
            long configurationLeaseMillis,
            int clockDriftPercent,
            boolean serveIdempotentWithoutControl,
            long drainTimeoutMillis) {

        /**
         * The documented defaults.
         *
         * @return reports each second, 3 s configuration lease, 10 % drift, idempotent requests
         *     served, no drain limit
         */
        public static Limits defaults() {
            return new Limits(1_000, 3_000, 10, true, 0);
        }
    }
}
