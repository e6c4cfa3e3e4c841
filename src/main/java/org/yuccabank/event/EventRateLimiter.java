package org.yuccabank.event;

import java.util.OptionalLong;
import java.util.concurrent.atomic.AtomicLongArray;

/**
 * Limits the log lines of each event per second and counts the suppressed ones. It applies to lines
 * that name no request, as it drops lines without regard to their content. Thread-safe; under
 * concurrent use, a few more lines may be admitted at the start of a second.
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
     * Counts a line and decides whether to write it.
     *
     * @param event the event
     * @param nowMillis current time of a monotonic clock
     * @return number of lines of the event suppressed since its previous line; empty if this line
     *     is to be suppressed
     */
    OptionalLong admit(Event event, long nowMillis) {
        int index = event.ordinal();
        long window = nowMillis / WINDOW_MILLIS;
        if (windowNumbers.getAndSet(index, window) != window) {
            lineCounts.set(index, 0);
        }
        if (lineCounts.incrementAndGet(index) > linesPerSecond) {
            countSuppressed(event);
            return OptionalLong.empty();
        }
        return OptionalLong.of(takeSuppressed(event));
    }

    /** Counts a line that is suppressed for another reason than the rate. */
    void countSuppressed(Event event) {
        suppressed.incrementAndGet(event.ordinal());
    }

    /** Returns the number of lines of an event suppressed since the previous call. */
    long takeSuppressed(Event event) {
        return suppressed.getAndSet(event.ordinal(), 0);
    }
}
