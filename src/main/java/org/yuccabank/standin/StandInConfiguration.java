package org.yuccabank.standin;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import org.yuccabank.model.Resources;

/**
 * How a stand-in worker and its service instance behave. Immutable.
 *
 * @param listenAddress address of the worker interface
 * @param announcementAddress where the agent takes announcements, empty to announce nothing
 * @param targetId identifier of the service instance
 * @param service service of the instance
 * @param kinds kinds of requests that the instance serves
 * @param slots requests that the instance runs at one time
 * @param connections requests that the instance holds at one time
 * @param capacity capacity of the host
 * @param serviceReservation part of the capacity that belongs to the instance
 * @param serveMillis time of one request on an idle host
 * @param slowdowns hidden slowdown of the first kind by each task of the second, keyed {@code
 *     FIRST:SECOND}; 0.5 means half as long again
 * @param seed seed of the random parts of times
 * @param recordFile file to which the records are written as well
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

    /** Slots of a service instance. */
    public static final int DEFAULT_SLOTS = 8;

    /** Connections of a service instance. */
    public static final int DEFAULT_CONNECTIONS = 64;

    /** Capacity of a worker: 16 cores and 60 GB. */
    public static final Resources DEFAULT_CAPACITY = Resources.of(16_000, 61_440, 0);

    /** Part of a worker that its service instance has. */
    public static final Resources DEFAULT_SERVICE_RESERVATION = Resources.of(4_000, 8_192, 0);

    /** Copies the collections. */
    public StandInConfiguration {
        Objects.requireNonNull(listenAddress, "listenAddress is null");
        kinds = List.copyOf(kinds);
        slowdowns = Map.copyOf(slowdowns);
    }

    /**
     * A worker of the usual size.
     *
     * @param targetId identifier of the service instance
     * @param service service of the instance
     * @param kinds kinds of requests that it serves
     * @param listenAddress address of the worker interface
     * @param announcementAddress where the agent takes announcements
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
     * The same configuration with other capacities.
     *
     * @param newCapacity capacity of the host
     * @param newReservation part of it that belongs to the instance
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
     * The same configuration with other times.
     *
     * @param newServeMillis time of one request on an idle host
     * @param newSlowdowns hidden slowdowns
     * @param newSeed seed of the random parts of times
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
     * The same configuration with a record file.
     *
     * @param file file to which the records are written as well
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
     * Hidden slowdown of one kind by one task of another.
     *
     * @param kind the kind that is slowed down
     * @param neighbourKind kind of the task beside it
     * @return the share by which it takes longer
     */
    public double slowdown(String kind, String neighbourKind) {
        return slowdowns.getOrDefault(kind + ":" + neighbourKind, 0.0);
    }
}
