package org.yuccabank.replication;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import org.yuccabank.protocol.generated.HardState;
import org.yuccabank.protocol.generated.LogEntry;
import org.yuccabank.protocol.generated.ReplicaMessage;

/**
 * Collects the messages and writes of a {@link ReplicaCore}. A message that acknowledges a write is
 * held back until all earlier writes are synced. Not thread-safe.
 */
final class Outbox {

    private record HeldMessage(long sequence, ReplicaMessage message) {}

    private record UnsyncedBatch(long sequence, long lastIndex) {}

    private final boolean syncBeforeAcknowledge;
    private final Deque<HeldMessage> heldMessages = new ArrayDeque<>();
    private final Deque<UnsyncedBatch> unsyncedBatches = new ArrayDeque<>();
    private List<ReplicaMessage> readyMessages = new ArrayList<>();
    private long takenSequence;
    private long syncedSequence;
    private long syncedIndex;
    private boolean hasWrites;
    private HardState hardState;
    private SnapshotData snapshot;
    private long baseIndex;
    private long baseTerm;
    private boolean resetLog;
    private long truncateFrom;
    private List<LogEntry> entries = new ArrayList<>();

    Outbox(boolean syncBeforeAcknowledge, long syncedIndex) {
        this.syncBeforeAcknowledge = syncBeforeAcknowledge;
        this.syncedIndex = syncedIndex;
    }

    /** Sends a message that acknowledges no write. */
    void send(ReplicaMessage message) {
        readyMessages.add(message);
    }

    /** Sends a message once all earlier writes are synced. */
    void sendAfterSync(ReplicaMessage message) {
        if (!syncBeforeAcknowledge || newestSequence() <= syncedSequence) {
            readyMessages.add(message);
        } else {
            heldMessages.add(new HeldMessage(newestSequence(), message));
        }
    }

    /** Returns the sequence number of the batch that contains the latest write. */
    long newestSequence() {
        return hasWrites ? takenSequence + 1 : takenSequence;
    }

    boolean isSynced(long sequence) {
        return !syncBeforeAcknowledge || sequence <= syncedSequence;
    }

    /** Returns the last log index known to be synced. */
    long syncedIndex() {
        return syncedIndex;
    }

    void writeHardState(HardState state) {
        hardState = state;
        hasWrites = true;
    }

    void append(LogEntry entry) {
        entries.add(entry);
        hasWrites = true;
    }

    void truncateFrom(long index) {
        entries.removeIf(entry -> entry.getIndex() >= index);
        truncateFrom = truncateFrom == 0 ? index : Math.min(truncateFrom, index);
        lowerSyncedIndex(index - 1);
        hasWrites = true;
    }

    /** Writes a snapshot and discards log entries up to a base index. */
    void writeSnapshot(SnapshotData data, long newBaseIndex, long newBaseTerm) {
        snapshot = data;
        baseIndex = newBaseIndex;
        baseTerm = newBaseTerm;
        resetLog = false;
        hasWrites = true;
    }

    /** Replaces the log with a snapshot received from the leader. */
    void installSnapshot(SnapshotData data) {
        entries.clear();
        truncateFrom = 0;
        lowerSyncedIndex(Math.min(syncedIndex, data.lastIndex()));
        writeSnapshot(data, data.lastIndex(), data.lastTerm());
        resetLog = true;
    }

    private void lowerSyncedIndex(long limit) {
        syncedIndex = Math.min(syncedIndex, limit);
        List<UnsyncedBatch> updatedBatches = new ArrayList<>();
        for (UnsyncedBatch batch : unsyncedBatches) {
            updatedBatches.add(
                    new UnsyncedBatch(batch.sequence(), Math.min(batch.lastIndex(), limit)));
        }
        unsyncedBatches.clear();
        unsyncedBatches.addAll(updatedBatches);
    }

    /**
     * Removes and returns the writes collected since the last call.
     *
     * @param lastIndex last log index after these writes
     * @return the batch, or empty if there are no writes
     */
    Optional<WriteBatch> takeWrites(long lastIndex) {
        if (!hasWrites) {
            return Optional.empty();
        }
        takenSequence++;
        WriteBatch batch =
                new WriteBatch(
                        takenSequence,
                        Optional.ofNullable(hardState),
                        Optional.ofNullable(snapshot),
                        baseIndex,
                        baseTerm,
                        resetLog,
                        truncateFrom,
                        entries);
        unsyncedBatches.add(new UnsyncedBatch(takenSequence, lastIndex));
        hardState = null;
        snapshot = null;
        resetLog = false;
        truncateFrom = 0;
        entries = new ArrayList<>();
        hasWrites = false;
        if (!syncBeforeAcknowledge) {
            syncedIndex = lastIndex;
        }
        return Optional.of(batch);
    }

    /** Records that all batches up to a sequence number are synced, and releases held messages. */
    void onSynced(long sequence) {
        syncedSequence = Math.max(syncedSequence, sequence);
        while (!unsyncedBatches.isEmpty() && unsyncedBatches.peek().sequence() <= syncedSequence) {
            syncedIndex = Math.max(syncedIndex, unsyncedBatches.remove().lastIndex());
        }
        while (!heldMessages.isEmpty() && heldMessages.peek().sequence() <= syncedSequence) {
            readyMessages.add(heldMessages.remove().message());
        }
    }

    List<ReplicaMessage> takeMessages() {
        List<ReplicaMessage> messages = readyMessages;
        readyMessages = new ArrayList<>();
        return messages;
    }
}
