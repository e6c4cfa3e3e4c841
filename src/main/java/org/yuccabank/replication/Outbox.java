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
 * Collects the messages and writes of a core. A message that acknowledges something is held back
 * until the writes requested before it are synced. Not thread-safe.
 */
final class Outbox {

    private record Held(long sequence, ReplicaMessage message) {}

    private record Batch(long sequence, long lastIndex) {}

    private final boolean syncFirst;
    private final Deque<Held> held = new ArrayDeque<>();
    private final Deque<Batch> unsynced = new ArrayDeque<>();
    private List<ReplicaMessage> ready = new ArrayList<>();
    private long taken;
    private long synced;
    private long syncedIndex;
    private boolean dirty;
    private HardState hardState;
    private SnapshotData snapshot;
    private long baseIndex;
    private long baseTerm;
    private boolean resetLog;
    private long truncateFrom;
    private List<LogEntry> entries = new ArrayList<>();

    Outbox(boolean syncFirst, long syncedIndex) {
        this.syncFirst = syncFirst;
        this.syncedIndex = syncedIndex;
    }

    /** Sends a message that acknowledges nothing. */
    void send(ReplicaMessage message) {
        ready.add(message);
    }

    /** Sends a message after everything written so far is synced. */
    void sendAfterSync(ReplicaMessage message) {
        if (!syncFirst || newestSequence() <= synced) {
            ready.add(message);
        } else {
            held.add(new Held(newestSequence(), message));
        }
    }

    /** Number of the batch that contains the newest write. */
    long newestSequence() {
        return dirty ? taken + 1 : taken;
    }

    boolean isSynced(long sequence) {
        return !syncFirst || sequence <= synced;
    }

    /** Last log position known to be synced. */
    long syncedIndex() {
        return syncedIndex;
    }

    void writeHardState(HardState state) {
        hardState = state;
        dirty = true;
    }

    void append(LogEntry entry) {
        entries.add(entry);
        dirty = true;
    }

    void truncateFrom(long index) {
        entries.removeIf(entry -> entry.getIndex() >= index);
        truncateFrom = truncateFrom == 0 ? index : Math.min(truncateFrom, index);
        lowerSyncedIndex(index - 1);
        dirty = true;
    }

    /** Writes a snapshot and forgets log entries up to a base position. */
    void writeSnapshot(SnapshotData data, long newBaseIndex, long newBaseTerm) {
        snapshot = data;
        baseIndex = newBaseIndex;
        baseTerm = newBaseTerm;
        resetLog = false;
        dirty = true;
    }

    /** Replaces the log by a snapshot of the leader. */
    void installSnapshot(SnapshotData data) {
        entries.clear();
        truncateFrom = 0;
        lowerSyncedIndex(Math.min(syncedIndex, data.lastIndex()));
        writeSnapshot(data, data.lastIndex(), data.lastTerm());
        resetLog = true;
    }

    private void lowerSyncedIndex(long limit) {
        syncedIndex = Math.min(syncedIndex, limit);
        List<Batch> lowered = new ArrayList<>();
        for (Batch batch : unsynced) {
            lowered.add(new Batch(batch.sequence(), Math.min(batch.lastIndex(), limit)));
        }
        unsynced.clear();
        unsynced.addAll(lowered);
    }

    /**
     * Takes the writes since the last call.
     *
     * @param lastIndex last position of the log after these writes
     * @return the batch, if there is anything to write
     */
    Optional<WriteBatch> takeWrites(long lastIndex) {
        if (!dirty) {
            return Optional.empty();
        }
        taken++;
        WriteBatch batch =
                new WriteBatch(
                        taken,
                        Optional.ofNullable(hardState),
                        Optional.ofNullable(snapshot),
                        baseIndex,
                        baseTerm,
                        resetLog,
                        truncateFrom,
                        entries);
        unsynced.add(new Batch(taken, lastIndex));
        hardState = null;
        snapshot = null;
        resetLog = false;
        truncateFrom = 0;
        entries = new ArrayList<>();
        dirty = false;
        if (!syncFirst) {
            syncedIndex = lastIndex;
        }
        return Optional.of(batch);
    }

    /** Records that all batches up to a sequence number are synced. */
    void written(long sequence) {
        synced = Math.max(synced, sequence);
        while (!unsynced.isEmpty() && unsynced.peek().sequence() <= synced) {
            syncedIndex = Math.max(syncedIndex, unsynced.remove().lastIndex());
        }
        while (!held.isEmpty() && held.peek().sequence() <= synced) {
            ready.add(held.remove().message());
        }
    }

    List<ReplicaMessage> takeMessages() {
        List<ReplicaMessage> messages = ready;
        ready = new ArrayList<>();
        return messages;
    }
}
