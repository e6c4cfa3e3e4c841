package org.yuccabank.event;

import java.util.OptionalLong;
import java.util.concurrent.atomic.AtomicLongArray;
import java.util.concurrent.atomic.LongAdder;

/** Counts the occurrences of each event and the lines that were not written. Thread-safe. */
final class EventCounts {

    private final AtomicLongArray occurrences = new AtomicLongArray(Event.values().length);
    private final LongAdder suppressedLines = new LongAdder();

    /**
     * Counts an occurrence.
     *
     * @param admitted empty if its line is suppressed
     * @return the second argument
     */
    OptionalLong count(Event event, OptionalLong admitted) {
        occurrences.incrementAndGet(event.ordinal());
        if (admitted.isEmpty()) {
            suppressedLines.increment();
        }
        return admitted;
    }

    long occurrences(Event event) {
        return occurrences.get(event.ordinal());
    }

    long suppressedLines() {
        return suppressedLines.sum();
    }
}
