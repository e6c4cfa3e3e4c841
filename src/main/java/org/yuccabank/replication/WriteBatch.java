package org.yuccabank.replication;

import java.util.List;
import java.util.Optional;
import org.yuccabank.protocol.generated.HardState;
import org.yuccabank.protocol.generated.LogEntry;

/**
 * Changes of the durable state that become durable together, by one sync.
 *
 * @param sequence number of the batch, strictly increasing
 * @param hardState new term and vote, if they changed
 * @param snapshot new snapshot, if any
 * @param baseIndex with a snapshot: the log keeps only entries after this position
 * @param baseTerm term of the base
 * @param resetLog with a snapshot: the log is emptied before the entries are appended
 * @param truncateFrom first log position that is removed before the entries are appended, 0 if none
 * @param entries entries to append
 */
record WriteBatch(
        long sequence,
        Optional<HardState> hardState,
        Optional<SnapshotData> snapshot,
        long baseIndex,
        long baseTerm,
        boolean resetLog,
        long truncateFrom,
        List<LogEntry> entries) {}
