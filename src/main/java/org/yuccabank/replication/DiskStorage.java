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
 * Durable state in three files: {@code log} with the entries, {@code snapshot}, and {@code state}
 * with term and vote. The latter two are replaced as a whole. Not thread-safe.
 */
final class DiskStorage implements ReplicaStorage {

    static final String LOG = "log";
    static final String SNAPSHOT = "snapshot";
    static final String STATE = "state";

    private static final int CHECKSUM_BYTES = 4;

    /** The largest array that every Java machine can allocate. */
    private static final long MAXIMUM_FILE_BYTES = Integer.MAX_VALUE - 8;

    private final StorageDirectory directory;
    private final ReplicaSettings settings;
    private final ReplicaEvents events;
    private StorageFile log;
    private long logEnd;
    private long batchStart;
    private long firstIndex;
    private List<Long> offsets = new ArrayList<>();
    private Optional<HardState> pendingState = Optional.empty();

    DiskStorage(StorageDirectory directory, ReplicaSettings settings, ReplicaEvents events) {
        this.directory = directory;
        this.settings = settings;
        this.events = events;
    }

    @Override
    public StoredState load() throws IOException {
        Optional<byte[]> stateBytes = readChecked(STATE);
        Optional<byte[]> snapshotBytes = readChecked(SNAPSHOT);
        if (stateBytes.isEmpty()) {
            requireUnused(snapshotBytes);
            return create();
        }
        HardState state = parseState(stateBytes.get());
        if (snapshotBytes.isEmpty()) {
            throw new CorruptStorageException(SNAPSHOT, 0, "the file is missing");
        }
        return openLog(state, parseSnapshot(snapshotBytes.get()));
    }

    /** The identifier in the file "state", empty if there is none. */
    static Optional<String> storedReplicaId(StorageDirectory directory) throws IOException {
        Optional<byte[]> bytes = readChecked(directory, STATE);
        return bytes.isPresent()
                ? Optional.of(HardState.parseFrom(bytes.get()).getReplicaId())
                : Optional.empty();
    }

    private Optional<byte[]> readChecked(String name) throws IOException {
        return readChecked(directory, name);
    }

    private static Optional<byte[]> readChecked(StorageDirectory directory, String name)
            throws IOException {
        Optional<StorageFile> found = directory.open(name);
        if (found.isEmpty()) {
            return Optional.empty();
        }
        try (StorageFile file = found.get()) {
            if (file.size() < CHECKSUM_BYTES || file.size() > MAXIMUM_FILE_BYTES) {
                throw new CorruptStorageException(name, 0, "its size is " + file.size());
            }
            byte[] bytes = file.read(0, (int) file.size());
            int checksum =
                    RecordFormat.checksum(bytes, CHECKSUM_BYTES, bytes.length - CHECKSUM_BYTES);
            if (ByteBuffer.wrap(bytes).getInt() != checksum) {
                throw new CorruptStorageException(name, 0, "the checksum is wrong");
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
                        STATE,
                        0,
                        "it belongs to replica "
                                + state.getReplicaId()
                                + " of group "
                                + state.getGroup());
            }
            return state;
        } catch (InvalidProtocolBufferException exception) {
            throw new CorruptStorageException(STATE, 0, "it can not be decoded");
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
            throw new CorruptStorageException(SNAPSHOT, 0, "it can not be decoded");
        }
    }

    /** The file "state" is created last; without it the others must hold nothing. */
    private void requireUnused(Optional<byte[]> snapshotBytes) throws IOException {
        if (snapshotBytes.isPresent() && parseSnapshot(snapshotBytes.get()).lastIndex() > 0) {
            throw new CorruptStorageException(STATE, 0, "the file is missing");
        }
        Optional<StorageFile> found = directory.open(LOG);
        if (found.isPresent()) {
            try (StorageFile file = found.get()) {
                if (file.size() > LogReader.FILE_HEADER_BYTES) {
                    throw new CorruptStorageException(STATE, 0, "the file is missing");
                }
            }
        }
    }

    private StoredState create() throws IOException {
        Membership.Builder membership = Membership.newBuilder();
        settings.initialMembers().forEach(member -> membership.addMembers(member.toWire()));
        SnapshotData snapshot = new SnapshotData(0, 0, membership.build(), ByteString.EMPTY);
        HardState state =
                HardState.newBuilder()
                        .setGroup(settings.group())
                        .setReplicaId(settings.replicaId())
                        .build();
        replaceSnapshot(snapshot);
        replaceLog(0, 0, new byte[0]);
        replaceChecked(STATE, state.toByteArray());
        return new StoredState(state, snapshot, 0, 0, List.of());
    }

    private StoredState openLog(HardState state, SnapshotData snapshot) throws IOException {
        log =
                directory
                        .open(LOG)
                        .orElseThrow(
                                () -> new CorruptStorageException(LOG, 0, "the file is missing"));
        LogReader.Content content = LogReader.read(LOG, log);
        if (content.tornBytes() > 0) {
            events.report(
                    Event.LOG_TAIL_TRUNCATED,
                    "replica",
                    settings.replicaId(),
                    "bytes",
                    content.tornBytes());
            log.truncate(content.end());
        }
        // Records may still be in the cache of the operating system after a crash of the process.
        log.sync();
        if (content.baseIndex() > snapshot.lastIndex()) {
            throw new CorruptStorageException(LOG, 0, "entries after the snapshot are missing");
        }
        logEnd = content.end();
        batchStart = logEnd;
        firstIndex = content.baseIndex() + 1;
        offsets = new ArrayList<>(content.offsets());
        return join(state, snapshot, content);
    }

    /** A log that does not contain the snapshot's position is older than the snapshot. */
    private StoredState join(HardState state, SnapshotData snapshot, LogReader.Content content)
            throws IOException {
        EntryLog entries = new EntryLog(content.baseIndex(), content.baseTerm(), content.entries());
        if (entries.termAt(snapshot.lastIndex()) == snapshot.lastTerm()) {
            return new StoredState(
                    state, snapshot, content.baseIndex(), content.baseTerm(), content.entries());
        }
        replaceLog(snapshot.lastIndex(), snapshot.lastTerm(), new byte[0]);
        return new StoredState(
                state, snapshot, snapshot.lastIndex(), snapshot.lastTerm(), List.of());
    }

    @Override
    public void write(WriteBatch batch) throws IOException {
        batch.hardState().ifPresent(state -> pendingState = Optional.of(state));
        if (batch.resetLog()) {
            replaceSnapshot(batch.snapshot().orElseThrow());
            replaceLog(batch.baseIndex(), batch.baseTerm(), new byte[0]);
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
        int kept = (int) (index - firstIndex);
        if (kept < offsets.size()) {
            logEnd = offsets.get(kept);
            log.truncate(logEnd);
            // Without this sync a crash could keep the removed records beside the new ones.
            log.sync();
            batchStart = logEnd;
            offsets.subList(kept, offsets.size()).clear();
        }
    }

    private void append(List<LogEntry> entries) throws IOException {
        if (entries.isEmpty()) {
            return;
        }
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        for (LogEntry entry : entries) {
            offsets.add(logEnd + bytes.size());
            bytes.writeBytes(RecordFormat.encode(entry.toByteArray(), batchStart));
        }
        log.append(bytes.toByteArray());
        logEnd += bytes.size();
    }

    private void compact(long baseIndex, long baseTerm) throws IOException {
        int dropped = (int) (baseIndex + 1 - firstIndex);
        if (dropped <= 0) {
            return;
        }
        long start = dropped < offsets.size() ? offsets.get(dropped) : logEnd;
        byte[] kept = log.read(start, (int) (logEnd - start));
        List<Long> keptOffsets = offsets.subList(dropped, offsets.size()).stream().toList();
        replaceLog(baseIndex, baseTerm, reencode(kept, keptOffsets, start));
    }

    /** Positions change, so the records get the start of the new file as that of their batch. */
    private static byte[] reencode(byte[] records, List<Long> starts, long base) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream(records.length);
        for (int index = 0; index < starts.size(); index++) {
            int from = (int) (starts.get(index) - base) + RecordFormat.HEADER_BYTES;
            int to =
                    index + 1 < starts.size()
                            ? (int) (starts.get(index + 1) - base)
                            : records.length;
            byte[] payload = Arrays.copyOfRange(records, from, to);
            bytes.writeBytes(RecordFormat.encode(payload, LogReader.FILE_HEADER_BYTES));
        }
        return bytes.toByteArray();
    }

    private void replaceLog(long baseIndex, long baseTerm, byte[] records) throws IOException {
        directory.replace(LOG, List.of(LogReader.fileHeader(baseIndex, baseTerm), records));
        if (log != null) {
            log.close();
        }
        log = directory.open(LOG).orElseThrow(() -> new IOException("log has disappeared"));
        LogReader.Content content = LogReader.read(LOG, log);
        logEnd = content.end();
        batchStart = logEnd;
        firstIndex = baseIndex + 1;
        offsets = new ArrayList<>(content.offsets());
    }

    private void replaceSnapshot(SnapshotData snapshot) throws IOException {
        SnapshotChunk chunk =
                SnapshotChunk.newBuilder()
                        .setLastIndex(snapshot.lastIndex())
                        .setLastTerm(snapshot.lastTerm())
                        .setMembership(snapshot.membership())
                        .setData(snapshot.data())
                        .build();
        replaceChecked(SNAPSHOT, chunk.toByteArray());
        events.report(
                Event.SNAPSHOT_SAVED,
                "replica",
                settings.replicaId(),
                "index",
                snapshot.lastIndex());
    }

    private void replaceChecked(String name, byte[] bytes) throws IOException {
        int checksum = RecordFormat.checksum(bytes, 0, bytes.length);
        byte[] prefix = ByteBuffer.allocate(CHECKSUM_BYTES).putInt(checksum).array();
        directory.replace(name, List.of(prefix, bytes));
    }

    @Override
    public void sync() throws IOException {
        if (pendingState.isPresent()) {
            replaceChecked(STATE, pendingState.get().toByteArray());
            pendingState = Optional.empty();
        }
        if (batchStart < logEnd) {
            log.sync();
            batchStart = logEnd;
        }
    }

    @Override
    public void close() throws IOException {
        if (log != null) {
            log.close();
        }
        directory.close();
    }
}
