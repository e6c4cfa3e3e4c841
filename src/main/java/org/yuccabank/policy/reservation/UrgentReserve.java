package org.yuccabank.policy.reservation;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Objects;
import org.yuccabank.model.Resources;

/**
 * Room kept free of batch work so that urgent tasks start without waiting for a termination. The
 * reserve follows the greatest number of urgent starts in a few seconds of the recent past. Not
 * thread-safe.
 */
public final class UrgentReserve {

    /** Stopping a batch task and learning of it takes up to this long. */
    private static final long WINDOW_MILLIS = 3_000;

    /** Waves come back within minutes. */
    private static final long RETENTION_MILLIS = 120_000;

    /** Room beyond the greatest wave seen; arrivals vary by about their square root. */
    private static final double SAFETY_FACTOR = 1.5;

    private static final int MIN_SLOTS = 2;

    /** A single great wave, such as a restart of all services, must not lock out batch work. */
    private static final long MAX_SLOTS_PER_HOST = 1;

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
     * @param slot room for one urgent task
     * @return the reserve
     */
    public static UrgentReserve of(Resources slot) {
        return new UrgentReserve(Objects.requireNonNull(slot, "slot is null"));
    }

    /**
     * Counts an urgent task that asks for a host.
     *
     * @param nowMillis present time
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
     * Room that batch work must leave free on a host.
     *
     * @param index position of the host
     * @param hosts number of hosts
     * @return the room, in whole slots spread evenly over the hosts
     */
    public Resources on(int index, int hosts) {
        long slots = Math.min(hosts * MAX_SLOTS_PER_HOST, requiredSlots());
        // Differences of rounded multiples spread the slots evenly without any state per host.
        long onHost = (index + 1) * slots / hosts - index * slots / hosts;
        return Resources.of(slot.processorMillis() * onHost, slot.memoryMebibytes() * onHost, 0);
    }

    private long requiredSlots() {
        long maxStarts = startsInWindow;
        for (long[] window : pastWindows) {
            maxStarts = Math.max(maxStarts, window[1]);
        }
        return Math.max(MIN_SLOTS, (long) Math.ceil(maxStarts * SAFETY_FACTOR));
    }
}
