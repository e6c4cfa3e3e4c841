package org.yuccabank.verify;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.yuccabank.replication.StorageFile;

/**
 * In-memory disk that distinguishes between written and synced bytes. A crash loses unsynced bytes,
 * or keeps some of them, among which a sector may read as zeros. Bytes whose sync has failed can be
 * read, but are never written to the disk: a later sync succeeds without them, and a crash loses
 * them. The same holds for every second replacement that fails. Not thread-safe.
 */
final class FakeDisk implements SimulatedDisk {

    private static final int SECTOR_BYTES = 512;
    private static final int NO_FAILURE = Integer.MAX_VALUE;

    private final Simulation simulation;
    private final Map<String, FakeFile> files = new TreeMap<>();
    private boolean full;
    private int operationsUntilFailure = NO_FAILURE;
    private int failedReplacements;

    FakeDisk(Simulation simulation) {
        this.simulation = simulation;
    }

    @Override
    public void setFull(boolean newFull) {
        full = newFull;
    }

    @Override
    public void failAfter(int operations) {
        operationsUntilFailure = operations;
    }

    @Override
    public void clearFaults() {
        full = false;
        operationsUntilFailure = NO_FAILURE;
    }

    private void failIfDue() throws IOException {
        if (operationsUntilFailure == NO_FAILURE) {
            return;
        }
        operationsUntilFailure--;
        if (operationsUntilFailure < 0) {
            operationsUntilFailure = NO_FAILURE;
            simulation.countFault(Fault.DISK_ERROR);
            throw new IOException("input/output error");
        }
    }

    @Override
    public void crash() {
        for (String name : List.copyOf(files.keySet())) {
            FakeFile file = files.get(name);
            while (file != null && file.renameLost) {
                file = file.replaced.orElse(null);
            }
            if (file == null) {
                files.remove(name);
            } else {
                files.put(name, file);
                file.crash();
            }
        }
    }

    @Override
    public Optional<StorageFile> open(String name) throws IOException {
        return Optional.ofNullable(files.get(name));
    }

    @Override
    public void replace(String name, Iterable<byte[]> parts) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        parts.forEach(bytes::writeBytes);
        FakeFile replacement = new FakeFile(bytes.toByteArray());
        if (full) {
            simulation.countFault(Fault.DISK_FULL);
            throw new IOException("no space left on device");
        }
        try {
            failIfDue();
        } catch (IOException exception) {
            failedReplacements++;
            if (failedReplacements % 2 == 0) {
                replacement.replaced = Optional.ofNullable(files.put(name, replacement));
                replacement.renameLost = true;
            }
            throw exception;
        }
        files.put(name, replacement);
    }

    /** In-memory file. */
    private final class FakeFile implements StorageFile {

        private byte[] data;
        private int size;
        private int syncedSize;
        private byte[] dataBeforeTruncation;
        private int unwrittenFrom;
        private int unwrittenTo;
        private boolean renameLost;
        private Optional<FakeFile> replaced = Optional.empty();

        private FakeFile(byte[] content) {
            data = content;
            size = content.length;
            syncedSize = size;
        }

        @Override
        public long size() {
            return size;
        }

        @Override
        public byte[] read(long position, int length) {
            int start = (int) Math.min(position, size);
            return Arrays.copyOfRange(data, start, (int) Math.min(size, position + length));
        }

        @Override
        public void append(byte[] bytes) throws IOException {
            failIfDue();
            int written = full ? bytes.length / 2 : bytes.length;
            if (size + written > data.length) {
                data = Arrays.copyOf(data, Math.max(2 * data.length, size + written));
            }
            System.arraycopy(bytes, 0, data, size, written);
            size += written;
            if (full) {
                simulation.countFault(Fault.DISK_FULL);
                throw new IOException("no space left on device");
            }
        }

        @Override
        public void truncate(long newSize) throws IOException {
            failIfDue();
            if (newSize < syncedSize && dataBeforeTruncation == null) {
                dataBeforeTruncation = Arrays.copyOf(data, syncedSize);
            }
            size = (int) newSize;
            syncedSize = Math.min(syncedSize, size);
            unwrittenTo = Math.min(unwrittenTo, size);
        }

        @Override
        public void sync() throws IOException {
            try {
                failIfDue();
            } catch (IOException exception) {
                unwrittenFrom = unwrittenTo > unwrittenFrom ? unwrittenFrom : syncedSize;
                unwrittenTo = size;
                syncedSize = size;
                throw exception;
            }
            syncedSize = size;
            dataBeforeTruncation = null;
        }

        private void crash() {
            if (dataBeforeTruncation != null && simulation.random().nextBoolean()) {
                data = dataBeforeTruncation;
                size = data.length;
            } else if (size > syncedSize) {
                tearUnsyncedWrite();
            }
            if (unwrittenFrom < Math.min(unwrittenTo, size)) {
                Arrays.fill(data, unwrittenFrom, Math.min(unwrittenTo, size), (byte) 0);
            }
            dataBeforeTruncation = null;
            syncedSize = size;
            unwrittenFrom = 0;
            unwrittenTo = 0;
        }

        private void tearUnsyncedWrite() {
            int keptBytes = simulation.random().nextInt(size - syncedSize + 1);
            size = syncedSize + keptBytes;
            if (keptBytes > 0) {
                simulation.countFault(Fault.RECORD_TORN);
            }
            int sectorStart = (syncedSize / SECTOR_BYTES + 1) * SECTOR_BYTES;
            if (sectorStart < size && simulation.random().nextBoolean()) {
                Arrays.fill(
                        data, sectorStart, Math.min(size, sectorStart + SECTOR_BYTES), (byte) 0);
            }
        }

        @Override
        public void close() {}
    }
}
