package org.yuccabank.verify;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Invocations and completions of client operations in simulated time. Not thread-safe. */
final class History {

    /** Completion time of an operation without a result. */
    static final long NEVER_COMPLETED = Long.MAX_VALUE;

    /**
     * Invocation of an operation with its result.
     *
     * @param operation the operation
     * @param invokedMicros time at which the client first sent the operation
     * @param completedMicros time at which the client received the result, or {@link
     *     #NEVER_COMPLETED}
     * @param result the result, or null if the client received none
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

    /** Returns the entries whose operation is of one of two kinds. */
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
