package org.yuccabank.bench;

import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * Queue of actions to run at future times, ordered by time and then by insertion. Not thread-safe.
 */
final class EventQueue {

    private final PriorityQueue<Event> events =
            new PriorityQueue<>(
                    Comparator.comparingLong(Event::atMillis).thenComparingLong(Event::sequence));
    private long sequence;

    private record Event(long atMillis, long sequence, Runnable action) {}

    void scheduleAt(long atMillis, Runnable action) {
        events.add(new Event(atMillis, sequence++, action));
    }

    /** Runs all actions that are due. */
    void runUntil(long nowMillis) {
        while (!events.isEmpty() && events.peek().atMillis() <= nowMillis) {
            events.poll().action().run();
        }
    }
}
