package org.yuccabank.policy.placement;

import java.util.List;
import java.util.Objects;
import org.yuccabank.model.HostId;
import org.yuccabank.model.Resources;

/**
 * State of a host as seen by placement. Immutable.
 *
 * <p>{@code reserved} includes every lease: running, in flight to the agent, and stopped but not
 * yet confirmed as terminated. {@code capacity} minus {@code reserved} is therefore guaranteed to
 * be free.
 *
 * @param host the host
 * @param dataCentre data centre of the host
 * @param rack rack of the host
 * @param status whether the host may receive work
 * @param capacity total resources of the host
 * @param reserved sum of the reservations of all leases that may still run
 * @param kinds load of each kind on the host
 * @param urgentUtilisation share of the request slots in use in the latest report, 0 to 1
 * @param lastReportMillis time at which the latest report was taken
 * @param unconfirmedStarts starts whose success or failure is not yet known
 */
public record HostView(
        HostId host,
        String dataCentre,
        String rack,
        HostStatus status,
        Resources capacity,
        Resources reserved,
        List<KindLoad> kinds,
        double urgentUtilisation,
        long lastReportMillis,
        int unconfirmedStarts) {

    /** Validates the components. */
    public HostView {
        Objects.requireNonNull(host, "host is null");
        Objects.requireNonNull(dataCentre, "dataCentre is null");
        Objects.requireNonNull(rack, "rack is null");
        Objects.requireNonNull(status, "status is null");
        Objects.requireNonNull(capacity, "capacity is null");
        Objects.requireNonNull(reserved, "reserved is null");
        kinds = List.copyOf(kinds);
    }

    /**
     * Returns the resources that no lease holds.
     *
     * @return the free resources
     */
    public Resources freeResources() {
        return capacity.minus(reserved);
    }

    /**
     * Returns whether a reservation fits into the free resources.
     *
     * @param reservation the reservation
     * @return true if it fits
     */
    public boolean canFit(Resources reservation) {
        return reserved.processorMillis() + reservation.processorMillis()
                        <= capacity.processorMillis()
                && reserved.memoryMebibytes() + reservation.memoryMebibytes()
                        <= capacity.memoryMebibytes()
                && reserved.accelerators() + reservation.accelerators() <= capacity.accelerators();
    }

    /**
     * Returns the share of the processors that leases hold.
     *
     * @return the share, 0 to 1; 1 for a host without processors
     */
    public double reservedProcessorShare() {
        return capacity.processorMillis() == 0
                ? 1
                : (double) reserved.processorMillis() / capacity.processorMillis();
    }
}
