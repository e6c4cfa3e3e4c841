package org.yuccabank.event;

import java.util.OptionalLong;
import java.util.concurrent.atomic.AtomicLongArray;

/**
 * Bounds the lines of each event in a second and counts what is left out. Thread-safe; a few lines
 * more may pass when a second begins.
 */
final class EventRates {

    private static final long WINDOW_MILLIS = 1_000;

    private final int linesPerSecond;
    private final AtomicLongArray windows = new AtomicLongArray(Event.values().length);
    private final AtomicLongArray lines = new AtomicLongArray(Event.values().length);
    private final AtomicLongArray leftOut = new AtomicLongArray(Event.values().length);

    EventRates(int linesPerSecond) {
        this.linesPerSecond = linesPerSecond;
    }

    /**
     * Decides whether a line is written.
     *
     * @param event the event
     * @param nowMillis present time of a steady clock
     * @return lines of the event that were left out before this one; empty if this one is left out
     */
    OptionalLong admit(Event event, long nowMillis) {
        int position = event.ordinal();
        long window = nowMillis / WINDOW_MILLIS;
        if (windows.getAndSet(position, window) != window) {
            lines.set(position, 0);
        }
        if (lines.incrementAndGet(position) > linesPerSecond) {
            leftOut.incrementAndGet(position);
            return OptionalLong.empty();
        }
        return OptionalLong.of(leftOut.getAndSet(position, 0));
    }
}
