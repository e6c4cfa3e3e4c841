package org.yuccabank.verify;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** What clients asked and were told, in simulated time. Not thread-safe. */
final class History {

    /** End of an operation that was never answered. */
    static final long NEVER_COMPLETED = Long.MAX_VALUE;

    /**
     * One operation.
     *
     * @param operation the operation
     * @param invokedMicros when the client sent it first
     * @param completedMicros when the client received the answer, or {@link #NEVER_COMPLETED}
     * @param result the answer, null if there is none
     */
    record Entry(
            Operation operation,
            long invokedMicros,
            long completedMicros,
            OperationResult result) {}

    private record Key(int client, long sequence) {}

    private final Map<Key, Entry> entries =
            new TreeMap<>(Comparator.comparingInt(Key::client).thenComparingLong(Key::sequence));

    void recordInvocation(Operation operation, long nowMicros) {
        entries.put(key(operation), new Entry(operation, nowMicros, NEVER_COMPLETED, null));
    }

    void recordCompletion(Operation operation, long nowMicros, OperationResult result) {
        entries.computeIfPresent(
                key(operation),
                (key, entry) -> new Entry(operation, entry.invokedMicros(), nowMicros, result));
    }

    private static Key key(Operation operation) {
        return new Key(operation.client(), operation.sequence());
    }

    /** Operations of some kinds. */
    List<Entry> ofKinds(Operation.Kind first, Operation.Kind second) {
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
