package org.yuccabank.policy.placement;

/** Status of a host that determines whether it may receive new work. */
public enum HostStatus {
    /** The host reports and may receive work. */
    READY,
    /** The host failed recent starts and receives at most one new task as a probe. */
    PROBE,
    /** The host has not reported recently and receives no new work. */
    SUSPECT,
    /** The host is leaving or quarantined and receives no new work. */
    DRAINING,
    /** The host is lost and its leases have ended. */
    DEAD;

    /**
     * Returns whether the host may receive new work.
     *
     * @return true if placement may select it
     */
    public boolean acceptsWork() {
        return this == READY || this == PROBE;
    }
}
