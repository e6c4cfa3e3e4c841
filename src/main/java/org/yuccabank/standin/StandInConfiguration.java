package org.yuccabank.standin;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import org.yuccabank.model.Resources;

/**
 * Configuration of a stand-in worker and its service instance. Immutable.
 *
 * @param listenAddress address of the worker interface
 * @param announcementAddress address of the agent for announcements; empty to announce nothing
 * @param targetId identifier of the service instance
 * @param service service of the instance
 * @param kinds kinds of requests that the instance serves
 * @param slots maximum number of requests that the instance runs concurrently
 * @param connections maximum number of running and waiting requests of the instance
 * @param capacity capacity of the host
 * @param serviceReservation part of the capacity that is reserved for the instance
 * @param serveMillis average time of a request on an idle host
 * @param slowdowns slowdown of the first kind by each running task of the second, keyed {@code
 *     FIRST:SECOND}; 0.5 means that it takes 50 % longer. Not disclosed to the scheduler.
 * @param seed seed of the random request times
 * @param recordFile file to which the records are also written
 */
public record StandInConfiguration(
        InetSocketAddress listenAddress,
        Optional<InetSocketAddress> announcementAddress,
        String targetId,
        String service,
        List<String> kinds,
        int slots,
        int connections,
        Resources capacity,
        Resources serviceReservation,
        long serveMillis,
        Map<String, Double> slowdowns,
        long seed,
        Optional<Path> recordFile) {

    /** Default number of slots of a service instance. */
    public static final int DEFAULT_SLOTS = 8;

    /** Default number of connections of a service instance. */
    public static final int DEFAULT_CONNECTIONS = 64;

    /** Default capacity of a host: 16 cores and 60 GiB. */
    public static final Resources DEFAULT_CAPACITY = Resources.of(16_000, 61_440, 0);

    /** Default reservation for the service instance: 4 cores and 8 GiB. */
    public static final Resources DEFAULT_SERVICE_RESERVATION = Resources.of(4_000, 8_192, 0);

    /** Requires a listen address and copies the collections. */
    public StandInConfiguration {
        Objects.requireNonNull(listenAddress, "listenAddress is null");
        kinds = List.copyOf(kinds);
        slowdowns = Map.copyOf(slowdowns);
    }

    /**
     * Returns a configuration with the default sizes and times.
     *
     * @param targetId identifier of the service instance
     * @param service service of the instance
     * @param kinds kinds of requests that it serves
     * @param listenAddress address of the worker interface
     * @param announcementAddress address of the agent for announcements
     * @return the configuration
     */
    public static StandInConfiguration withDefaults(
            String targetId,
            String service,
            List<String> kinds,
            InetSocketAddress listenAddress,
            Optional<InetSocketAddress> announcementAddress) {
        return new StandInConfiguration(
                listenAddress,
                announcementAddress,
                targetId,
                service,
                kinds,
                DEFAULT_SLOTS,
                DEFAULT_CONNECTIONS,
                DEFAULT_CAPACITY,
                DEFAULT_SERVICE_RESERVATION,
                20,
                Map.of(),
                1,
                Optional.empty());
    }

    /**
     * Returns a copy with another capacity and reservation.
     *
     * @param newCapacity capacity of the host
     * @param newReservation part of the capacity that is reserved for the instance
     * @return the configuration
     */
    public StandInConfiguration withCapacity(Resources newCapacity, Resources newReservation) {
        return new StandInConfiguration(
                listenAddress,
                announcementAddress,
                targetId,
                service,
                kinds,
                slots,
                connections,
                newCapacity,
                newReservation,
                serveMillis,
                slowdowns,
                seed,
                recordFile);
    }

    /**
     * Returns a copy with other request times and slowdowns.
     *
     * @param newServeMillis average time of a request on an idle host
     * @param newSlowdowns slowdowns by pair of kinds
     * @param newSeed seed of the random request times
     * @return the configuration
     */
    public StandInConfiguration withTimes(
            long newServeMillis, Map<String, Double> newSlowdowns, long newSeed) {
        return new StandInConfiguration(
                listenAddress,
                announcementAddress,
                targetId,
                service,
                kinds,
                slots,
                connections,
                capacity,
                serviceReservation,
                newServeMillis,
                newSlowdowns,
                newSeed,
                recordFile);
    }

    /**
     * Returns a copy with a record file.
     *
     * @param file file to which the records are also written
     * @return the configuration
     */
    public StandInConfiguration withRecordFile(Path file) {
        return new StandInConfiguration(
                listenAddress,
                announcementAddress,
                targetId,
                service,
                kinds,
                slots,
                connections,
                capacity,
                serviceReservation,
                serveMillis,
                slowdowns,
                seed,
                Optional.of(file));
    }

    /**
     * Returns the slowdown of one kind by one running task of another.
     *
     * @param kind the kind that is slowed down
     * @param neighbourKind kind of the task on the same host
     * @return fraction by which the first kind takes longer; 0 if none is configured
     */
    public double slowdown(String kind, String neighbourKind) {
        return slowdowns.getOrDefault(kind + ":" + neighbourKind, 0.0);
    }
}
