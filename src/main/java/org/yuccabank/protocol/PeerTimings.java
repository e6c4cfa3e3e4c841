package org.yuccabank.protocol;

import java.time.Duration;

/**
 * Heartbeat interval and timeouts of a connection. Immutable.
 *
 * @param heartbeatInterval time between two heartbeats in each direction
 * @param idleTimeout time without a received frame after which a connection is closed
 * @param connectTimeout maximum time to open a connection
 */
public record PeerTimings(
        Duration heartbeatInterval, Duration idleTimeout, Duration connectTimeout) {

    /**
     * Returns the default timings: heartbeats every 500 ms, an idle timeout of 2 s and a connect
     * timeout of 400 ms. The connect timeout is 40 times the latency between data centres, and
     * short enough that a host without power delays the connection to the next host only a little.
     *
     * @return the default timings
     */
    public static PeerTimings defaults() {
        return new PeerTimings(
                Duration.ofMillis(500), Duration.ofSeconds(2), Duration.ofMillis(400));
    }
}
