package org.yuccabank.control.workflow;

import java.util.Comparator;
import java.util.Optional;
import org.yuccabank.protocol.generated.FleetConfiguration;
import org.yuccabank.protocol.generated.QueueDefinition;
import org.yuccabank.protocol.generated.WorkflowAddress;

/**
 * The queue that an address names and what follows its prefix. Immutable.
 *
 * @param queue the queue with the longest prefix of the path
 * @param workflowId the rest of the path, empty if the address names the queue itself
 */
record QueueMatch(QueueDefinition queue, String workflowId) {

    /**
     * Finds the queue of an address.
     *
     * @param configuration the configuration in force
     * @param address host name and path
     * @return the match, empty if no queue has the host name and a prefix of the path
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
