package org.yuccabank.replication;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;

import com.google.protobuf.ByteString;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import org.testng.Reporter;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import org.yuccabank.protocol.generated.LogEntry;

/** Tests the durable state with real files. */
public final class DiskStorageTest {

    private static final int PAYLOAD_BYTES = 256;

    private Path directory;
    private long sequence;

    /** Creates an empty directory. */
    @BeforeMethod
    public void createDirectory() throws IOException {
        directory = Files.createTempDirectory("storage");
        sequence = 0;
    }

    private DiskStorage open() throws IOException {
        return open(FileDirectory.open(directory));
    }

    private DiskStorage open(StorageDirectory opened) {
        ReplicaSettings settings =
                ReplicaSettings.of("g", "a", directory, List.of(ReplicaMember.voter("a", "a")));
        return new DiskStorage(opened, settings, (event, details) -> {});
    }

    private static LogEntry entry(long index) {
        return LogEntry.newBuilder()
                .setIndex(index)
                .setTerm(1)
                .setPayload(ByteString.copyFrom(new byte[PAYLOAD_BYTES]))
                .build();
    }

    private WriteBatch batch(long first, int count) {
        List<LogEntry> entries = new ArrayList<>();
        for (long index = first; index < first + count; index++) {
            entries.add(entry(index));
        }
        sequence++;
        return new WriteBatch(
                sequence, Optional.empty(), Optional.empty(), 0, 0, false, 0, entries);
    }

    private void store(int count) throws IOException {
        DiskStorage storage = open();
        storage.load();
        for (int index = 1; index <= count; index++) {
            storage.write(batch(index, 1));
            storage.sync();
        }
        storage.close();
    }

    private int load() throws IOException {
        DiskStorage storage = open();
        try {
            return storage.load().entries().size();
        } finally {
            storage.close();
        }
    }

    /** Guards against a torn last record that prevents a start or remains in the file. */
    @Test
    public void shouldTruncateTornTail() throws IOException {
        store(5);
        Path log = directory.resolve(DiskStorage.LOG_FILE);
        byte[] bytes = Files.readAllBytes(log);
        Files.write(log, Arrays.copyOf(bytes, bytes.length - 10));
        assertEquals(load(), 4);
        assertEquals(load(), 4);
    }

    /** Guards against corruption before the tail that is mistaken for a torn tail. */
    @Test
    public void shouldRejectCorruptionBeforeTail() throws IOException {
        store(5);
        Path log = directory.resolve(DiskStorage.LOG_FILE);
        byte[] bytes = Files.readAllBytes(log);
        bytes[LogReader.FILE_HEADER_BYTES + RecordFormat.HEADER_BYTES + 3] ^= 1;
        Files.write(log, bytes);
        assertThrows(CorruptStorageException.class, this::load);
    }

    /** Guards against a lost term and vote when the state file is missing. */
    @Test
    public void shouldRejectMissingStateFile() throws IOException {
        store(1);
        Files.delete(directory.resolve(DiskStorage.STATE_FILE));
        assertThrows(CorruptStorageException.class, this::load);
    }

    /** Guards against a partially written temporary file that is mistaken for the state file. */
    @Test
    public void shouldIgnoreTemporaryFile() throws IOException {
        store(2);
        Files.write(
                directory.resolve(DiskStorage.STATE_FILE + ".tmp"),
                new byte[] {1},
                StandardOpenOption.CREATE);
        assertEquals(load(), 2);
    }

    /** Guards against a replica that cannot be opened again after its log could not be closed. */
    @Test
    public void shouldUnlockDirectoryIfLogCannotBeClosed() throws IOException {
        FailingDirectory.Disk disk = new FailingDirectory.Disk();
        DiskStorage storage = open(new FailingDirectory(FileDirectory.open(directory), disk));
        storage.load();
        disk.setCloseFails(true);
        assertThrows(IOException.class, storage::close);
        assertEquals(load(), 0);
    }

    /** Guards against batches that lose entries; also logs the disk throughput. */
    @Test
    public void shouldKeepEveryBatch() throws IOException {
        for (int size : new int[] {1, 16, 128, 1024}) {
            createDirectory();
            DiskStorage storage = open();
            storage.load();
            int batches = 300;
            long start = System.nanoTime();
            for (int number = 0; number < batches; number++) {
                storage.write(batch(1 + (long) number * size, size));
                storage.sync();
            }
            double seconds = (System.nanoTime() - start) / 1e9;
            storage.close();
            Reporter.log(
                    String.format(
                            "disk log, %d entries of %d bytes per sync: %.0f entries/s, %.2f ms per"
                                    + " sync",
                            size,
                            PAYLOAD_BYTES,
                            batches * size / seconds,
                            seconds * 1000 / batches),
                    true);
            assertEquals(load(), batches * size);
        }
    }
}
