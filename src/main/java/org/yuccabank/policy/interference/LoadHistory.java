package org.yuccabank.policy.interference;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.yuccabank.policy.placement.KindLoad;

/**
 * Recent history of the load on one host. Measurements arrive late and must be matched with the
 * load at the time at which they were taken. Not thread-safe.
 */
public final class LoadHistory {

    /** Older reports are not used for learning. */
    private static final long RETENTION_MILLIS = 15_000;

    private final Deque<Entry> entries = new ArrayDeque<>();

    private record Entry(long takenAtMillis, List<KindLoad> load) {}

    private LoadHistory() {}

    /**
     * Creates an empty history.
     *
     * @return the history
     */
    public static LoadHistory create() {
        return new LoadHistory();
    }

    /**
     * Adds the load at a time.
     *
     * @param takenAtMillis the time, not before that of the newest entry
     * @param load load of each kind at that time
     */
    public void add(long takenAtMillis, List<KindLoad> load) {
        Objects.requireNonNull(load, "load is null");
        entries.addLast(new Entry(takenAtMillis, List.copyOf(load)));
        while (entries.getFirst().takenAtMillis() < takenAtMillis - RETENTION_MILLIS) {
            entries.removeFirst();
        }
    }

    /**
     * Returns the newest load recorded during a measurement.
     *
     * @param takenAtMillis end of the measurement
     * @param windowMillis length of the measurement
     * @return the load, empty if none was recorded in that time
     */
    public Optional<List<KindLoad>> at(long takenAtMillis, long windowMillis) {
        Entry before = null;
        for (Entry entry : entries) {
            if (entry.takenAtMillis() > takenAtMillis) {
                break;
            }
            before = entry;
        }
        if (before == null || before.takenAtMillis() < takenAtMillis - windowMillis) {
            return Optional.empty();
        }
        return Optional.of(before.load());
    }
}
