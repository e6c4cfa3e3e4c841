package org.yuccabank.verify;

/**
 * Host of a simulated group, and the times until which it counts as lost. A host that is replaced
 * and its successor are one host. Not thread-safe.
 */
final class SimulatedHost {

    private String address;
    private SimulatedReplica replica;
    private long lostUntilMillis;
    private long diskLostUntilMillis;

    SimulatedHost(SimulatedReplica replica) {
        this.replica = replica;
        address = replica.id();
    }

    String address() {
        return address;
    }

    /** Returns the replica that runs on the host now or ran there last. */
    SimulatedReplica replica() {
        return replica;
    }

    void setReplica(SimulatedReplica newReplica, String newAddress) {
        replica = newReplica;
        address = newAddress;
    }

    boolean isLost(long nowMillis) {
        return nowMillis < lostUntilMillis;
    }

    boolean isDiskLost(long nowMillis) {
        return nowMillis < diskLostUntilMillis;
    }

    void recordLoss(long untilMillis) {
        lostUntilMillis = Math.max(lostUntilMillis, untilMillis);
    }

    void recordDiskLoss(long untilMillis) {
        diskLostUntilMillis = Math.max(diskLostUntilMillis, untilMillis);
    }
}
