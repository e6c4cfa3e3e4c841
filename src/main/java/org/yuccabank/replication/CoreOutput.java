package org.yuccabank.replication;

import java.util.List;
import java.util.Optional;
import org.yuccabank.protocol.generated.LogEntry;
import org.yuccabank.protocol.generated.ReplicaMessage;

/**
 * Actions that the owner of a {@link ReplicaCore} must perform, in the order of the components.
 *
 * @param messages messages to send immediately
 * @param writes changes to write; the owner reports them to the core once they are synced
 * @param restore snapshot to restore the state machine from
 * @param committed committed entries to apply after the snapshot
 * @param reads reads that may be served after the entries are applied
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
