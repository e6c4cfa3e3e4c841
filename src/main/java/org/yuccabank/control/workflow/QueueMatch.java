package org.yuccabank.control.workflow;

import java.util.Comparator;
import java.util.Optional;
import org.yuccabank.protocol.generated.FleetConfiguration;
import org.yuccabank.protocol.generated.QueueDefinition;
import org.yuccabank.protocol.generated.WorkflowAddress;

/**
 * Queue that matches an address, with the rest of the path. Immutable.
 *
 * @param queue the queue with the longest matching path prefix
 * @param workflowId the path after the prefix, empty if the address refers to the queue itself
 */
record QueueMatch(QueueDefinition queue, String workflowId) {

    /**
     * Returns the queue that matches an address.
     *
     * @param configuration the configuration in force
     * @param address host name and path
     * @return the match, or empty if no queue has the host name and a prefix of the path
     */
    static Optional<QueueMatch> find(FleetConfiguration configuration, WorkflowAddress address) {
        return configuration.getQueuesList().stream()
                .filter(queue -> queue.getHostName().equalsIgnoreCase(address.getHostName()))
                .filter(queue -> address.getPath().startsWith(queue.getPathPrefix()))
                .max(Comparator.comparingInt(queue -> queue.getPathPrefix().length()))
                .map(
                        queue ->
                                new QueueMatch(
                                        queue,
                                        address.getPath()
                                                .substring(queue.getPathPrefix().length())));
    }
}
