package org.yuccabank.replication;

/**
 * Timing parameters of the replication protocol. Immutable.
 *
 * @param electionTimeoutMillis minimum election timeout; also the time for which a replica that
 *     heard from a leader does not vote for another one
 * @param electionJitterMillis range of the random delay added to the election timeout
 * @param heartbeatMillis interval between heartbeats of a leader
 * @param clockDriftPercent maximum difference between the clock rates of two replicas
 */
public record ReplicaTiming(
        long electionTimeoutMillis,
        long electionJitterMillis,
        long heartbeatMillis,
        int clockDriftPercent) {

    /** Validates that the lease can be renewed before it expires. */
    public ReplicaTiming {
        if (heartbeatMillis < 1 || electionJitterMillis < 1) {
            throw new IllegalArgumentException(
                    "heartbeat interval and election jitter must be at least 1 ms");
        }
        if (clockDriftPercent < 0 || clockDriftPercent > 50) {
            throw new IllegalArgumentException("clock drift must be from 0 to 50 percent");
        }
        if (electionTimeoutMillis < 2 * heartbeatMillis) {
            throw new IllegalArgumentException(
                    "the election timeout must be at least two heartbeat intervals");
        }
    }

    /**
     * Returns timing parameters for data centres with a one-way network latency of up to 10 ms.
     *
     * @return an election timeout of 300 to 600 ms, heartbeats every 75 ms and 10 percent clock
     *     drift
     */
    public static ReplicaTiming defaults() {
        return new ReplicaTiming(300, 300, 75, 10);
    }
}
