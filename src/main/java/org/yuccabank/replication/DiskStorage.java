package org.yuccabank.replication;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import org.yuccabank.event.Event;
import org.yuccabank.protocol.generated.HardState;
import org.yuccabank.protocol.generated.LogEntry;
import org.yuccabank.protocol.generated.Membership;
import org.yuccabank.protocol.generated.SnapshotChunk;

/**
 * Storage that keeps the durable state in three files: {@code log} with the entries, {@code
 * snapshot}, and {@code state} with the term and vote. The latter two are replaced atomically. Not
 * thread-safe.
 */
final class DiskStorage implements ReplicaStorage {

    static final String LOG_FILE = "log";
    static final String SNAPSHOT_FILE = "snapshot";
    static final String STATE_FILE = "state";

    private static final int CHECKSUM_BYTES = 4;

    /** Largest array length that all common JVMs can allocate. */
    private static final long MAXIMUM_FILE_BYTES = Integer.MAX_VALUE - 8;

    private final StorageDirectory directory;
    private final ReplicaSettings settings;
    private final ReplicaEventListener eventListener;
    private StorageFile log;
    private long logEndOffset;
    private long batchStartOffset;
    private long firstIndex;
    private List<Long> entryOffsets = new ArrayList<>();
    private Optional<HardState> unsyncedState = Optional.empty();

    DiskStorage(
            StorageDirectory directory,
            ReplicaSettings settings,
            ReplicaEventListener eventListener) {
        this.directory = directory;
        this.settings = settings;
        this.eventListener = eventListener;
    }

    @Override
    public StoredState load() throws IOException {
        Optional<byte[]> stateBytes = readWithChecksum(STATE_FILE);
        Optional<byte[]> snapshotBytes = readWithChecksum(SNAPSHOT_FILE);
        if (stateBytes.isEmpty()) {
            requireNoStoredState(snapshotBytes);
            return create();
        }
        HardState state = parseState(stateBytes.get());
        if (snapshotBytes.isEmpty()) {
            throw new CorruptStorageException(SNAPSHOT_FILE, 0, "file is missing");
        }
        return openLog(state, parseSnapshot(snapshotBytes.get()));
    }

    /** Returns the replica identifier in the file {@code state}, or empty if there is no file. */
    static Optional<String> storedReplicaId(StorageDirectory directory) throws IOException {
        Optional<byte[]> bytes = readWithChecksum(directory, STATE_FILE);
        return bytes.isPresent()
                ? Optional.of(HardState.parseFrom(bytes.get()).getReplicaId())
                : Optional.empty();
    }

    private Optional<byte[]> readWithChecksum(String name) throws IOException {
        return readWithChecksum(directory, name);
    }

    private static Optional<byte[]> readWithChecksum(StorageDirectory directory, String name)
            throws IOException {
        Optional<StorageFile> found = directory.open(name);
        if (found.isEmpty()) {
            return Optional.empty();
        }
        try (StorageFile file = found.get()) {
            if (file.size() < CHECKSUM_BYTES || file.size() > MAXIMUM_FILE_BYTES) {
                throw new CorruptStorageException(name, 0, "invalid file size " + file.size());
            }
            byte[] bytes = file.read(0, (int) file.size());
            int checksum =
                    RecordFormat.checksum(bytes, CHECKSUM_BYTES, bytes.length - CHECKSUM_BYTES);
            if (ByteBuffer.wrap(bytes).getInt() != checksum) {
                throw new CorruptStorageException(name, 0, "checksum mismatch");
            }
            return Optional.of(Arrays.copyOfRange(bytes, CHECKSUM_BYTES, bytes.length));
        }
    }

    private HardState parseState(byte[] bytes) throws IOException {
        try {
            HardState state = HardState.parseFrom(bytes);
            if (!state.getReplicaId().equals(settings.replicaId())
                    || !state.getGroup().equals(settings.group())) {
                throw new CorruptStorageException(
                        STATE_FILE,
                        0,
                        "file belongs to replica "
                                + state.getReplicaId()
                                + " of group "
                                + state.getGroup());
            }
            return state;
        } catch (InvalidProtocolBufferException exception) {
            throw new CorruptStorageException(STATE_FILE, 0, "file cannot be decoded");
        }
    }

    private static SnapshotData parseSnapshot(byte[] bytes) throws IOException {
        try {
            SnapshotChunk chunk = SnapshotChunk.parseFrom(bytes);
            return new SnapshotData(
                    chunk.getLastIndex(),
                    chunk.getLastTerm(),
                    chunk.getMembership(),
                    chunk.getData());
        } catch (InvalidProtocolBufferException exception) {
            throw new CorruptStorageException(SNAPSHOT_FILE, 0, "file cannot be decoded");
        }
    }

    /** Checks that the other files hold no data, as {@code state} is created last but missing. */
    private void requireNoStoredState(Optional<byte[]> snapshotBytes) throws IOException {
        if (snapshotBytes.isPresent() && parseSnapshot(snapshotBytes.get()).lastIndex() > 0) {
            throw new CorruptStorageException(STATE_FILE, 0, "file is missing");
        }
        Optional<StorageFile> found = directory.open(LOG_FILE);
        if (found.isPresent()) {
            try (StorageFile file = found.get()) {
                if (file.size() > LogReader.FILE_HEADER_BYTES) {
                    throw new CorruptStorageException(STATE_FILE, 0, "file is missing");
                }
            }
        }
    }

    @Override
    public StoredState reload() throws IOException {
        if (readWithChecksum(STATE_FILE).isEmpty()) {
            throw new CorruptStorageException(STATE_FILE, 0, "file is missing");
        }
        return load();
    }

    private StoredState create() throws IOException {
        Membership.Builder membership = Membership.newBuilder();
        settings.initialMembers().forEach(member -> membership.addMembers(member.toProto()));
        SnapshotData snapshot = new SnapshotData(0, 0, membership.build(), ByteString.EMPTY);
        HardState state =
                HardState.newBuilder()
                        .setGroup(settings.group())
                        .setReplicaId(settings.replicaId())
                        .build();
        replaceSnapshot(snapshot);
        replaceLog(0, 0, List.of());
        replaceWithChecksum(STATE_FILE, state.toByteArray());
        return new StoredState(state, snapshot, 0, 0, List.of());
    }

    private StoredState openLog(HardState state, SnapshotData snapshot) throws IOException {
        LogReader.Content content = readLog();
        if (content.tornBytes() > 0) {
            eventListener.onEvent(
                    Event.LOG_TAIL_TRUNCATED,
                    "replica",
                    settings.replicaId(),
                    "bytes",
                    content.tornBytes());
        }
        if (content.baseIndex() > snapshot.lastIndex()) {
            throw new CorruptStorageException(
                    LOG_FILE, 0, "log entries after the snapshot are missing");
        }
        StoredState stored = reconcile(state, snapshot, content);
        rewrite(stored);
        return stored;
    }

    private LogReader.Content readLog() throws IOException {
        Optional<StorageFile> found = directory.open(LOG_FILE);
        if (found.isEmpty()) {
            throw new CorruptStorageException(LOG_FILE, 0, "file is missing");
        }
        try (StorageFile file = found.get()) {
            return LogReader.read(LOG_FILE, file);
        }
    }

    /**
     * Writes the loaded state to new files. After a crash of the process or a failed sync, the page
     * cache may hold changes that are not on the disk; if their write-back has failed, a later sync
     * of the same file succeeds without writing them.
     */
    private void rewrite(StoredState stored) throws IOException {
        writeSnapshot(stored.snapshot());
        replaceLog(
                stored.baseIndex(),
                stored.baseTerm(),
                stored.entries().stream().map(LogEntry::toByteArray).toList());
        replaceWithChecksum(STATE_FILE, stored.hardState().toByteArray());
    }

    /** Discards the log if it does not contain the last entry of the snapshot and is thus older. */
    private StoredState reconcile(HardState state, SnapshotData snapshot, LogReader.Content content)
            throws IOException {
        InMemoryLog entries =
                new InMemoryLog(content.baseIndex(), content.baseTerm(), content.entries());
        if (entries.termAt(snapshot.lastIndex()) == snapshot.lastTerm()) {
            return new StoredState(
                    state, snapshot, content.baseIndex(), content.baseTerm(), content.entries());
        }
        return new StoredState(
                state, snapshot, snapshot.lastIndex(), snapshot.lastTerm(), List.of());
    }

    @Override
    public void write(WriteBatch batch) throws IOException {
        batch.hardState().ifPresent(state -> unsyncedState = Optional.of(state));
        if (batch.resetLog()) {
            replaceSnapshot(batch.snapshot().orElseThrow());
            replaceLog(batch.baseIndex(), batch.baseTerm(), List.of());
        }
        if (batch.truncateFrom() >= firstIndex && batch.truncateFrom() > 0) {
            truncateFrom(batch.truncateFrom());
        }
        append(batch.entries());
        if (batch.snapshot().isPresent() && !batch.resetLog()) {
            replaceSnapshot(batch.snapshot().get());
            compact(batch.baseIndex(), batch.baseTerm());
        }
    }

    private void truncateFrom(long index) throws IOException {
        int keptEntries = (int) (index - firstIndex);
        if (keptEntries < entryOffsets.size()) {
            logEndOffset = entryOffsets.get(keptEntries);
            log.truncate(logEndOffset);
            // Without this sync, removed records could survive a crash together with new ones.
            log.sync();
            batchStartOffset = logEndOffset;
            entryOffsets.subList(keptEntries, entryOffsets.size()).clear();
        }
    }

    /**
     * Appends entries with one write, once the previous ones are synced. A loss of power keeps or
     * loses each write since the last sync on its own: a later one that is kept would follow a torn
     * one in the middle of the log, where damage is indistinguishable from corruption.
     */
    private void append(List<LogEntry> entries) throws IOException {
        if (entries.isEmpty()) {
            return;
        }
        syncLog();
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        for (LogEntry entry : entries) {
            entryOffsets.add(logEndOffset + bytes.size());
            bytes.writeBytes(RecordFormat.encode(entry.toByteArray(), batchStartOffset));
        }
        log.append(bytes.toByteArray());
        logEndOffset += bytes.size();
    }

    private void compact(long baseIndex, long baseTerm) throws IOException {
        int discardedEntries = (int) (baseIndex + 1 - firstIndex);
        if (discardedEntries <= 0) {
            return;
        }
        long start =
                discardedEntries < entryOffsets.size()
                        ? entryOffsets.get(discardedEntries)
                        : logEndOffset;
        byte[] keptRecords = log.read(start, (int) (logEndOffset - start));
        List<Long> keptOffsets =
                entryOffsets.subList(discardedEntries, entryOffsets.size()).stream().toList();
        replaceLog(baseIndex, baseTerm, payloads(keptRecords, keptOffsets, start));
    }

    private static List<byte[]> payloads(
            byte[] records, List<Long> recordOffsets, long baseOffset) {
        List<byte[]> payloads = new ArrayList<>();
        for (int index = 0; index < recordOffsets.size(); index++) {
            int from = (int) (recordOffsets.get(index) - baseOffset) + RecordFormat.HEADER_BYTES;
            int to =
                    index + 1 < recordOffsets.size()
                            ? (int) (recordOffsets.get(index + 1) - baseOffset)
                            : records.length;
            payloads.add(Arrays.copyOfRange(records, from, to));
        }
        return payloads;
    }

    /** Replaces the log. Its records form one batch, as they are synced together. */
    private void replaceLog(long baseIndex, long baseTerm, List<byte[]> payloads)
            throws IOException {
        List<byte[]> parts = new ArrayList<>();
        List<Long> offsets = new ArrayList<>();
        parts.add(LogReader.fileHeader(baseIndex, baseTerm));
        long end = LogReader.FILE_HEADER_BYTES;
        for (byte[] payload : payloads) {
            byte[] record = RecordFormat.encode(payload, LogReader.FILE_HEADER_BYTES);
            parts.add(record);
            offsets.add(end);
            end += record.length;
        }
        directory.replace(LOG_FILE, parts);
        if (log != null) {
            log.close();
        }
        log = directory.open(LOG_FILE).orElseThrow(() -> new IOException("log has disappeared"));
        logEndOffset = end;
        batchStartOffset = end;
        firstIndex = baseIndex + 1;
        entryOffsets = offsets;
    }

    private void replaceSnapshot(SnapshotData snapshot) throws IOException {
        writeSnapshot(snapshot);
        eventListener.onEvent(
                Event.SNAPSHOT_SAVED,
                "replica",
                settings.replicaId(),
                "index",
                snapshot.lastIndex());
    }

    private void writeSnapshot(SnapshotData snapshot) throws IOException {
        SnapshotChunk chunk =
                SnapshotChunk.newBuilder()
                        .setLastIndex(snapshot.lastIndex())
                        .setLastTerm(snapshot.lastTerm())
                        .setMembership(snapshot.membership())
                        .setData(snapshot.data())
                        .build();
        replaceWithChecksum(SNAPSHOT_FILE, chunk.toByteArray());
    }

    private void replaceWithChecksum(String name, byte[] bytes) throws IOException {
        int checksum = RecordFormat.checksum(bytes, 0, bytes.length);
        byte[] prefix = ByteBuffer.allocate(CHECKSUM_BYTES).putInt(checksum).array();
        directory.replace(name, List.of(prefix, bytes));
    }

    @Override
    public void sync() throws IOException {
        if (unsyncedState.isPresent()) {
            replaceWithChecksum(STATE_FILE, unsyncedState.get().toByteArray());
            unsyncedState = Optional.empty();
        }
        syncLog();
    }

    private void syncLog() throws IOException {
        if (batchStartOffset < logEndOffset) {
            log.sync();
            batchStartOffset = logEndOffset;
        }
    }

    @Override
    public void close() throws IOException {
        try {
            if (log != null) {
                log.close();
            }
        } finally {
            // Also after a failure, as a directory that stays locked cannot be opened again.
            directory.close();
        }
    }
}
