package org.yuccabank.replication;

import java.util.List;
import org.yuccabank.protocol.generated.HardState;
import org.yuccabank.protocol.generated.LogEntry;

/**
 * Durable state that a replica loads on startup.
 *
 * @param hardState term and vote
 * @param snapshot latest snapshot
 * @param baseIndex log index before the first entry, at most the last index of the snapshot
 * @param baseTerm term at the base index
 * @param entries contiguous log entries after the base index
 */
record StoredState(
        HardState hardState,
        SnapshotData snapshot,
        long baseIndex,
        long baseTerm,
        List<LogEntry> entries) {}
