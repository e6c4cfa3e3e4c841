package org.yuccabank.event;

import java.util.OptionalLong;
import java.util.concurrent.atomic.AtomicLongArray;

/**
 * Bounds the lines of each event in a second and counts what is left out. Thread-safe; a few lines
 * more may pass when a second begins.
 */
final class EventRateLimiter {

    private static final long WINDOW_MILLIS = 1_000;

    private final int linesPerSecond;
    private final AtomicLongArray windowNumbers = new AtomicLongArray(Event.values().length);
    private final AtomicLongArray lineCounts = new AtomicLongArray(Event.values().length);
    private final AtomicLongArray suppressed = new AtomicLongArray(Event.values().length);

    EventRateLimiter(int linesPerSecond) {
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
        int index = event.ordinal();
        long window = nowMillis / WINDOW_MILLIS;
        if (windowNumbers.getAndSet(index, window) != window) {
            lineCounts.set(index, 0);
        }
        if (lineCounts.incrementAndGet(index) > linesPerSecond) {
            suppressed.incrementAndGet(index);
            return OptionalLong.empty();
        }
        return OptionalLong.of(suppressed.getAndSet(index, 0));
    }
}
