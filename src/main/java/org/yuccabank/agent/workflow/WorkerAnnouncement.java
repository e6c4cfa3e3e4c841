package org.yuccabank.agent.workflow;

import java.net.InetSocketAddress;
import java.util.Objects;
import java.util.Set;
import org.yuccabank.model.Resources;
import org.yuccabank.protocol.generated.WorkerIdentity;

/**
 * What a worker says about itself. Immutable.
 *
 * @param identity the worker and its incarnation
 * @param service service that it belongs to
 * @param address where it takes orders
 * @param dataCentre its data centre
 * @param rack its rack, empty if unknown
 * @param labels its labels
 * @param capacity what it offers
 * @param draining it will leave soon
 * @param clockMillis its clock when it sent this
 * @param sequence rises with each announcement of an incarnation
 */
public record WorkerAnnouncement(
        WorkerIdentity identity,
        String service,
        InetSocketAddress address,
        String dataCentre,
        String rack,
        Set<String> labels,
        Resources capacity,
        boolean draining,
        long clockMillis,
        long sequence) {

    /** Checks the parts. */
    public WorkerAnnouncement {
        Objects.requireNonNull(identity, "identity is null");
        Objects.requireNonNull(address, "address is null");
        labels = Set.copyOf(labels);
    }

    /**
     * Tells whether this announcement is newer than another one.
     *
     * @param other the other one
     * @return true if the incarnation is later, or the same and this was sent later
     */
    boolean isNewerThan(WorkerAnnouncement other) {
        if (identity.getBornMillis() != other.identity.getBornMillis()) {
            return identity.getBornMillis() > other.identity.getBornMillis();
        }
        return sequence > other.sequence;
    }
}
