package org.yuccabank.verify;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** What clients asked and were told, in simulated time. Not thread-safe. */
final class History {

    /** End of an operation that was never answered. */
    static final long UNANSWERED = Long.MAX_VALUE;

    /**
     * One operation.
     *
     * @param operation the operation
     * @param invokedMicros when the client sent it first
     * @param answeredMicros when the client received the answer, or {@link #UNANSWERED}
     * @param answer the answer, null if there is none
     */
    record Entry(Operation operation, long invokedMicros, long answeredMicros, Answer answer) {}

    private record Key(int client, long sequence) {}

    private final Map<Key, Entry> entries =
            new TreeMap<>(Comparator.comparingInt(Key::client).thenComparingLong(Key::sequence));

    void invoked(Operation operation, long nowMicros) {
        entries.put(key(operation), new Entry(operation, nowMicros, UNANSWERED, null));
    }

    void answered(Operation operation, long nowMicros, Answer answer) {
        entries.computeIfPresent(
                key(operation),
                (key, entry) -> new Entry(operation, entry.invokedMicros(), nowMicros, answer));
    }

    private static Key key(Operation operation) {
        return new Key(operation.client(), operation.sequence());
    }

    /** Operations of some kinds. */
    List<Entry> of(Operation.Kind first, Operation.Kind second) {
        List<Entry> found = new ArrayList<>();
        for (Entry entry : entries.values()) {
            if (entry.operation().kind() == first || entry.operation().kind() == second) {
                found.add(entry);
            }
        }
        return found;
    }

    int size() {
        return entries.size();
    }
}
