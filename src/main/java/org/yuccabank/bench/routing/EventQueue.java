package org.yuccabank.bench.routing;

import java.util.PriorityQueue;

/**
 * Queue of future actions that advances simulated time. Actions scheduled for the same time run in
 * order of insertion.
 */
final class EventQueue {

    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private long nowMicros;
    private long sequence;

    private record Event(long atMicros, long sequence, Runnable action)
            implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            int byTime = Long.compare(atMicros, other.atMicros);
            return byTime != 0 ? byTime : Long.compare(sequence, other.sequence);
        }
    }

    long nowMicros() {
        return nowMicros;
    }

    long nowMillis() {
        return nowMicros / 1000;
    }

    void scheduleAfter(long delayMicros, Runnable action) {
        scheduleAt(nowMicros + delayMicros, action);
    }

    void scheduleAt(long atMicros, Runnable action) {
        events.add(new Event(Math.max(nowMicros, atMicros), sequence, action));
        sequence++;
    }

    void runAll() {
        for (Event event = events.poll(); event != null; event = events.poll()) {
            nowMicros = event.atMicros();
            event.action().run();
        }
    }
}
