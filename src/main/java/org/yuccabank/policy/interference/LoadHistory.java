package org.yuccabank.policy.interference;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.yuccabank.policy.placement.KindLoad;

/**
 * What ran together on one host in the recent past. Measurements arrive late; this history answers
 * with the load at the time at which they were taken. Not thread-safe.
 */
public final class LoadHistory {

    /** Reports older than this are not used for learning. */
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
     * Adds the load at one time.
     *
     * @param takenAtMillis the time, not before that of the newest entry
     * @param load what ran at that time
     */
    public void add(long takenAtMillis, List<KindLoad> load) {
        Objects.requireNonNull(load, "load is null");
        entries.addLast(new Entry(takenAtMillis, List.copyOf(load)));
        while (entries.getFirst().takenAtMillis() < takenAtMillis - RETENTION_MILLIS) {
            entries.removeFirst();
        }
    }

    /**
     * The load at a time, if it did not change around it.
     *
     * @param takenAtMillis time of a measurement
     * @param windowMillis length of the measurement, which ended at that time
     * @return the load, empty if it is unknown
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
