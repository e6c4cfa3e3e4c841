package org.yuccabank.agent.workflow;

import java.net.InetSocketAddress;
import java.util.Objects;
import java.util.Set;
import org.yuccabank.model.Resources;
import org.yuccabank.protocol.generated.ResourceVector;
import org.yuccabank.protocol.generated.WorkerIdentity;
import org.yuccabank.protocol.generated.WorkerReport;

/**
 * Self-description of a worker. Immutable.
 *
 * @param identity the worker and its incarnation
 * @param service service that it belongs to
 * @param address listen address of the worker's API
 * @param dataCentre its data centre
 * @param rack its rack, empty if unknown
 * @param labels its scheduling labels
 * @param capacity resources that it offers
 * @param draining whether it is about to leave
 * @param clockMillis its clock when it sent the announcement
 * @param sequence sequence of the announcement, increasing within an incarnation
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

    /** Validates and copies the components. */
    public WorkerAnnouncement {
        Objects.requireNonNull(identity, "identity is null");
        Objects.requireNonNull(address, "address is null");
        labels = Set.copyOf(labels);
    }

    /**
     * Returns whether this announcement is newer than another one.
     *
     * @param other the other announcement
     * @return true if its incarnation is later, or if it was sent later by the same incarnation
     */
    boolean isNewerThan(WorkerAnnouncement other) {
        if (identity.getBornMillis() != other.identity.getBornMillis()) {
            return identity.getBornMillis() > other.identity.getBornMillis();
        }
        return sequence > other.sequence;
    }

    /** Returns whether the worker accepts calls that were sent to the sender of another one. */
    boolean hasSameIdentifier(WorkerAnnouncement other) {
        return identity.getWorkerId().equals(other.identity.getWorkerId());
    }

    /** Returns a report of this announcement, to which the state of the runs has to be added. */
    WorkerReport.Builder toReport(String hostId) {
        return WorkerReport.newBuilder()
                .setHostId(hostId)
                .setWorker(identity)
                .setService(service)
                .setDataCentre(dataCentre)
                .setRack(rack)
                .addAllLabels(labels)
                .setCapacity(
                        ResourceVector.newBuilder()
                                .setProcessorMillis(capacity.processorMillis())
                                .setMemoryMebibytes(capacity.memoryMebibytes())
                                .setAccelerators(capacity.accelerators()))
                .setDraining(draining);
    }
}
