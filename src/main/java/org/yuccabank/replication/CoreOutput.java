package org.yuccabank.replication;

import java.util.List;
import java.util.Optional;
import org.yuccabank.protocol.generated.LogEntry;
import org.yuccabank.protocol.generated.ReplicaMessage;

/**
 * What the owner of a core has to do, in the order of the components.
 *
 * @param messages messages to send at once
 * @param writes changes to write; their completion is reported after a sync
 * @param restore snapshot that replaces the state machine
 * @param committed entries to apply after the snapshot
 * @param reads reads that may be served after the entries were applied
 */
record CoreOutput(
        List<ReplicaMessage> messages,
        Optional<WriteBatch> writes,
        Optional<SnapshotData> restore,
        List<LogEntry> committed,
        List<ConfirmedRead> reads) {

    boolean isEmpty() {
        return messages.isEmpty()
                && writes.isEmpty()
                && restore.isEmpty()
                && committed.isEmpty()
                && reads.isEmpty();
    }
}
