package org.yuccabank.protocol;

import java.time.Duration;

/**
 * Times of a connection. Immutable.
 *
 * @param heartbeatInterval time between two heartbeats in each direction
 * @param idleTimeout time without any frame after which a connection is closed
 * @param connectTimeout time allowed to open a connection
 */
public record PeerTimings(
        Duration heartbeatInterval, Duration idleTimeout, Duration connectTimeout) {

    /**
     * The usual times: a heartbeat every 500 ms, silent after 2 s, 400 ms to connect: forty times
     * the way between data centres, so that a host without power delays the next one little.
     *
     * @return the times
     */
    public static PeerTimings defaults() {
        return new PeerTimings(
                Duration.ofMillis(500), Duration.ofSeconds(2), Duration.ofMillis(400));
    }
}
