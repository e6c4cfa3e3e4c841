package org.yuccabank.replication;

import java.util.List;
import java.util.Optional;
import org.yuccabank.protocol.generated.HardState;
import org.yuccabank.protocol.generated.LogEntry;

/**
 * Changes to the durable state that are made durable by one sync.
 *
 * @param sequence sequence number of the batch, strictly increasing
 * @param hardState new term and vote, if they changed
 * @param snapshot new snapshot, if any
 * @param baseIndex with a snapshot, the index up to which log entries are discarded
 * @param baseTerm with a snapshot, the term at the base index
 * @param resetLog with a snapshot, whether the log is cleared before the entries are appended
 * @param truncateFrom first log index that is removed before the entries are appended, 0 for none
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
