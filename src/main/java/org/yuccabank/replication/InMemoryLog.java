package org.yuccabank.replication;

import java.util.ArrayList;
import java.util.List;
import org.yuccabank.protocol.generated.LogEntry;

/**
 * The log in memory: entries without gaps after a base position. Entries up to the base are
 * contained in a snapshot. Not thread-safe.
 */
final class InMemoryLog {

    private final List<LogEntry> entries;
    private long baseIndex;
    private long baseTerm;

    InMemoryLog(long baseIndex, long baseTerm, List<LogEntry> entries) {
        this.baseIndex = baseIndex;
        this.baseTerm = baseTerm;
        this.entries = new ArrayList<>(entries);
    }

    long baseIndex() {
        return baseIndex;
    }

    long baseTerm() {
        return baseTerm;
    }

    long lastIndex() {
        return baseIndex + entries.size();
    }

    long lastTerm() {
        return entries.isEmpty() ? baseTerm : entries.get(entries.size() - 1).getTerm();
    }

    /** Tells whether the term of a position is known. */
    boolean hasTerm(long index) {
        return index >= baseIndex && index <= lastIndex();
    }

    /** The term of a position, -1 if it is not known. */
    long termAt(long index) {
        if (index == baseIndex) {
            return baseTerm;
        }
        return hasTerm(index) ? entry(index).getTerm() : -1;
    }

    /** The entry at a position after the base. */
    LogEntry entry(long index) {
        return entries.get((int) (index - baseIndex - 1));
    }

    /** First position whose entries up to the given one all have its term. */
    long firstIndexOfTerm(long index) {
        long term = termAt(index);
        long first = index;
        while (first - 1 > baseIndex && termAt(first - 1) == term) {
            first--;
        }
        return first;
    }

    /**
     * Copies entries.
     *
     * @param from first position
     * @param to last position
     * @param maximumBytes bound of the payloads; at least one entry is copied regardless
     * @return the entries
     */
    List<LogEntry> slice(long from, long to, long maximumBytes) {
        List<LogEntry> slice = new ArrayList<>();
        long bytes = 0;
        for (long index = from; index <= Math.min(to, lastIndex()); index++) {
            LogEntry entry = entry(index);
            bytes += entry.getPayload().size();
            if (bytes > maximumBytes && !slice.isEmpty()) {
                break;
            }
            slice.add(entry);
        }
        return slice;
    }

    void append(LogEntry entry) {
        if (entry.getIndex() != lastIndex() + 1) {
            throw new IllegalArgumentException(
                    "entry " + entry.getIndex() + " does not follow " + lastIndex());
        }
        entries.add(entry);
    }

    void truncateFrom(long index) {
        entries.subList((int) (index - baseIndex - 1), entries.size()).clear();
    }

    /** Forgets entries up to a position that a snapshot contains. */
    void compactTo(long index) {
        if (index > baseIndex) {
            long term = termAt(index);
            entries.subList(0, (int) (index - baseIndex)).clear();
            baseIndex = index;
            baseTerm = term;
        }
    }

    /** Replaces the whole log by a base position. */
    void reset(long index, long term) {
        entries.clear();
        baseIndex = index;
        baseTerm = term;
    }
}
