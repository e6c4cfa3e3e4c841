package org.yuccabank.agent.workflow;

import java.net.InetSocketAddress;
import java.util.List;

/**
 * Startup configuration of a worker's agent. Immutable.
 *
 * @param processId identifier of the process
 * @param hostId identifier of the host
 * @param dataCentre data centre of the host
 * @param controlAddresses addresses of control processes, at least one
 * @param lease durations of worker leases
 * @param maximumAnnouncementAgeMillis age after which the announced capacity of the worker is not
 *     relied on, so that starts wait for the next announcement
 */
public record WorkflowAgentConfiguration(
        String processId,
        String hostId,
        String dataCentre,
        List<InetSocketAddress> controlAddresses,
        LeaseDurations lease,
        long maximumAnnouncementAgeMillis) {

    /** Copies the list of addresses. */
    public WorkflowAgentConfiguration {
        controlAddresses = List.copyOf(controlAddresses);
    }
}
