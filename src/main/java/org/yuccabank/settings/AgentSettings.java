package org.yuccabank.settings;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import org.yuccabank.model.Resources;

/**
 * Settings of the role agent. Immutable.
 *
 * @param process settings that every role has
 * @param protocolAddress where the process listens for the inner protocol
 * @param httpAddress where it listens for announcements of the target
 * @param administrationAddress where it serves metrics and health
 * @param controlAddresses inner protocol addresses of the control processes
 * @param workerAddress HTTP address of the worker on this host
 * @param capacity capacity of the host until the worker has told its own
 * @param reportInterval interval between reports to control
 * @param configurationLease time without contact to control after which work is refused
 * @param clockDriftPercent largest difference between the clock rates of two hosts
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

    /** Copies the list. */
    public AgentSettings {
        controlAddresses = List.copyOf(controlAddresses);
    }
}
