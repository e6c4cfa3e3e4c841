package org.yuccabank.policy.placement;

/** Whether a host may receive new work. */
public enum HostStatus {
    /** The host reports and may receive work. */
    READY,
    /** The host failed recent starts and may hold at most one new task as a probe. */
    PROBE,
    /** No recent report: no new work. */
    SUSPECT,
    /** The host is leaving or quarantined: no new work. */
    DRAINING,
    /** The host is lost: its leases have ended. */
    DEAD;

    /**
     * Tells whether the host may receive any new work.
     *
     * @return true if placement may choose it
     */
    public boolean acceptsWork() {
        return this == READY || this == PROBE;
    }
}
