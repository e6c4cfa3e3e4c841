package org.yuccabank.agent.workflow;

import java.net.InetSocketAddress;
import java.util.List;

/**
 * What an agent beside a worker needs to start. Immutable.
 *
 * @param processId identifier of the process
 * @param hostId identifier of the host
 * @param dataCentre data centre of the host
 * @param controlAddresses addresses of control processes, at least one
 * @param lease how long leases last
 */
public record WorkflowAgentConfiguration(
        String processId,
        String hostId,
        String dataCentre,
        List<InetSocketAddress> controlAddresses,
        LeaseDurations lease) {

    /** Checks the parts. */
    public WorkflowAgentConfiguration {
        controlAddresses = List.copyOf(controlAddresses);
    }
}
