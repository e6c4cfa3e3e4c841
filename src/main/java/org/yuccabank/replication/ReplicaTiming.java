package org.yuccabank.replication;

/**
 * Times of the replication protocol. Immutable.
 *
 * @param electionTimeoutMillis shortest election timeout; also the time for which a replica that
 *     heard from a leader grants no vote to another
 * @param electionJitterMillis width of the random part added to the election timeout
 * @param heartbeatMillis time between heartbeats of a leader
 * @param clockDriftPercent largest difference between the clock rates of two replicas
 */
public record ReplicaTiming(
        long electionTimeoutMillis,
        long electionJitterMillis,
        long heartbeatMillis,
        int clockDriftPercent) {

    /** Checks that the lease can be renewed before it ends. */
    public ReplicaTiming {
        if (heartbeatMillis < 1 || electionJitterMillis < 1) {
            throw new IllegalArgumentException("heartbeat and spread must be at least 1 ms");
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
     * Times for data centres with a one-way latency of up to 10 ms.
     *
     * @return election timeout 300 to 600 ms, heartbeats every 75 ms, clock drift 10 percent
     */
    public static ReplicaTiming defaults() {
        return new ReplicaTiming(300, 300, 75, 10);
    }
}
