package org.yuccabank.replication;

import java.util.ArrayList;
import java.util.List;
import org.yuccabank.protocol.generated.LogEntry;

/**
 * In-memory log of contiguous entries after a base index. Entries up to the base index are included
 * in a snapshot. Not thread-safe.
 */
final class InMemoryLog {

    private final List<LogEntry> entries;
    private long baseIndex;
    private long baseTerm;
    private long payloadBytes;

    InMemoryLog(long baseIndex, long baseTerm, List<LogEntry> entries) {
        this.baseIndex = baseIndex;
        this.baseTerm = baseTerm;
        this.entries = new ArrayList<>(entries);
        this.payloadBytes = payloadBytes(entries);
    }

    private static long payloadBytes(List<LogEntry> entries) {
        return entries.stream().mapToLong(entry -> entry.getPayload().size()).sum();
    }

    /** Returns the total payload size of the entries in memory. */
    long payloadBytes() {
        return payloadBytes;
    }

    /** Returns how many of the entries up to an index, from the latest on, have a total size. */
    int countWithin(long lastIndex, long maximumBytes) {
        int count = 0;
        long bytes = 0;
        for (long index = lastIndex; index > baseIndex; index--) {
            bytes += entry(index).getPayload().size();
            if (bytes > maximumBytes) {
                break;
            }
            count++;
        }
        return count;
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

    /** Returns whether the term at an index is known. */
    boolean hasTerm(long index) {
        return index >= baseIndex && index <= lastIndex();
    }

    /** Returns the term at an index, or -1 if it is not known. */
    long termAt(long index) {
        if (index == baseIndex) {
            return baseTerm;
        }
        return hasTerm(index) ? entry(index).getTerm() : -1;
    }

    /** Returns the entry at an index after the base index. */
    LogEntry entry(long index) {
        return entries.get((int) (index - baseIndex - 1));
    }

    /** Returns the first index of the run of entries that have the same term as the given index. */
    long firstIndexOfTerm(long index) {
        long term = termAt(index);
        long first = index;
        while (first - 1 > baseIndex && termAt(first - 1) == term) {
            first--;
        }
        return first;
    }

    /**
     * Returns a copy of a range of entries.
     *
     * @param from first index
     * @param to last index, inclusive
     * @param maximumBytes maximum total payload size; the first entry is returned regardless
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
        payloadBytes += entry.getPayload().size();
    }

    void truncateFrom(long index) {
        remove(entries.subList((int) (index - baseIndex - 1), entries.size()));
    }

    private void remove(List<LogEntry> removed) {
        payloadBytes -= payloadBytes(removed);
        removed.clear();
    }

    /** Discards entries up to an index that a snapshot includes. */
    void compactTo(long index) {
        if (index > baseIndex) {
            long term = termAt(index);
            remove(entries.subList(0, (int) (index - baseIndex)));
            baseIndex = index;
            baseTerm = term;
        }
    }

    /** Discards all entries and sets the base index and term. */
    void reset(long index, long term) {
        remove(entries);
        baseIndex = index;
        baseTerm = term;
    }
}
