package org.yuccabank.bench;

import java.util.Comparator;
import java.util.PriorityQueue;

/** Actions at future times, in order of time and then of insertion. Not thread-safe. */
final class EventQueue {

    private final PriorityQueue<Entry> entries =
            new PriorityQueue<>(
                    Comparator.comparingLong(Entry::atMillis).thenComparingLong(Entry::sequence));
    private long sequence;

    private record Entry(long atMillis, long sequence, Runnable action) {}

    void at(long atMillis, Runnable action) {
        entries.add(new Entry(atMillis, sequence++, action));
    }

    /** Runs every action that is due. */
    void runUntil(long nowMillis) {
        while (!entries.isEmpty() && entries.peek().atMillis() <= nowMillis) {
            entries.poll().action().run();
        }
    }
}
