package org.yuccabank.settings;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import org.yuccabank.model.Resources;

/**
 * Settings of the agent role. Immutable.
 *
 * @param process settings that all roles share
 * @param protocolAddress listen address of the peer protocol
 * @param httpAddress HTTP listen address for announcements of the target
 * @param administrationAddress listen address of metrics and health checks
 * @param controlAddresses peer protocol addresses of the control processes
 * @param workerAddress HTTP address of the worker on this host
 * @param capacity capacity of the host, used until the worker reports its capacity
 * @param reportInterval interval between reports to control
 * @param configurationLease time without contact to control after which at-most-once requests and
 *     new tasks are refused
 * @param clockDriftPercent maximum relative drift between the clocks of two hosts
 */
public record AgentSettings(
        ProcessSettings process,
        InetSocketAddress protocolAddress,
        InetSocketAddress httpAddress,
        InetSocketAddress administrationAddress,
        List<InetSocketAddress> controlAddresses,
        InetSocketAddress workerAddress,
        Resources capacity,
        Duration reportInterval,
        Duration configurationLease,
        int clockDriftPercent) {

    /** Copies the list of addresses. */
    public AgentSettings {
        controlAddresses = List.copyOf(controlAddresses);
    }
}
