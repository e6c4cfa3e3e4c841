package org.yuccabank.replication;

import java.util.List;
import org.yuccabank.protocol.generated.HardState;
import org.yuccabank.protocol.generated.LogEntry;

/**
 * What a replica finds on its disk when it starts.
 *
 * @param hardState term and vote
 * @param snapshot newest snapshot
 * @param baseIndex log position before the first entry, at most that of the snapshot
 * @param baseTerm term of that position
 * @param entries entries after the base, without gaps
 */
record StoredState(
        HardState hardState,
        SnapshotData snapshot,
        long baseIndex,
        long baseTerm,
        List<LogEntry> entries) {}
