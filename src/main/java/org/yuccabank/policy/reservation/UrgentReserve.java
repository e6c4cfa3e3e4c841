package org.yuccabank.policy.reservation;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Objects;
import org.yuccabank.model.Resources;

/**
 * Resources kept free of batch work, so that urgent tasks start without waiting for a termination.
 * The reserve is based on the maximum number of urgent starts in any recent window of a few
 * seconds. Not thread-safe.
 */
public final class UrgentReserve {

    /** Maximum time to stop a batch task and receive the confirmation. */
    private static final long WINDOW_MILLIS = 3_000;

    /** Waves of urgent tasks recur within minutes. */
    private static final long RETENTION_MILLIS = 120_000;

    /** Margin above the largest observed wave; arrivals vary by about their square root. */
    private static final double SAFETY_FACTOR = 1.5;

    private static final int MINIMUM_SLOTS = 2;

    /** A single large wave, such as a restart of all services, must not block batch work. */
    private static final long MAXIMUM_SLOTS_PER_HOST = 1;

    private final Resources slot;
    private final Deque<long[]> pastWindows = new ArrayDeque<>();
    private long windowStartMillis;
    private int startsInWindow;

    private UrgentReserve(Resources slot) {
        this.slot = slot;
    }

    /**
     * Creates a reserve.
     *
     * @param slot resources of one urgent task
     * @return the reserve
     */
    public static UrgentReserve of(Resources slot) {
        return new UrgentReserve(Objects.requireNonNull(slot, "slot is null"));
    }

    /**
     * Records an urgent task that requests a host.
     *
     * @param nowMillis current time
     */
    public void recordStart(long nowMillis) {
        if (nowMillis - windowStartMillis >= WINDOW_MILLIS) {
            pastWindows.addLast(new long[] {windowStartMillis, startsInWindow});
            windowStartMillis = nowMillis;
            startsInWindow = 0;
            while (!pastWindows.isEmpty()
                    && pastWindows.getFirst()[0] < nowMillis - RETENTION_MILLIS) {
                pastWindows.removeFirst();
            }
        }
        startsInWindow++;
    }

    /**
     * Returns the resources that batch work must leave free on a host.
     *
     * @param index position of the host
     * @param hosts number of hosts
     * @return the resources, in whole slots distributed evenly over the hosts
     */
    public Resources on(int index, int hosts) {
        long slots = Math.min(hosts * MAXIMUM_SLOTS_PER_HOST, requiredSlots());
        // Differences of rounded multiples distribute the slots evenly without state per host.
        long onHost = (index + 1) * slots / hosts - index * slots / hosts;
        return Resources.of(slot.processorMillis() * onHost, slot.memoryMebibytes() * onHost, 0);
    }

    private long requiredSlots() {
        long maximumStarts = startsInWindow;
        for (long[] window : pastWindows) {
            maximumStarts = Math.max(maximumStarts, window[1]);
        }
        return Math.max(MINIMUM_SLOTS, (long) Math.ceil(maximumStarts * SAFETY_FACTOR));
    }
}
