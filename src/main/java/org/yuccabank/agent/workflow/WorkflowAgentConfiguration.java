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
 * @param leaseMillis for how long a worker may run tasks after the leader's last answer
 */
public record WorkflowAgentConfiguration(
        String processId,
        String hostId,
        String dataCentre,
        List<InetSocketAddress> controlAddresses,
        long leaseMillis) {

    /** Checks the parts. */
    public WorkflowAgentConfiguration {
        controlAddresses = List.copyOf(controlAddresses);
    }
}
