package org.yuccabank.replication;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import com.google.protobuf.ByteString;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.Arrays;
import java.util.List;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;
import org.testng.annotations.Test;
import org.yuccabank.protocol.generated.LogEntry;

/** Tests the log reader with corrupt log files generated from seeds. */
public final class LogReaderFuzzTest {

    private static final int ENTRIES = 12;
    private static final int CASES = 4_000;

    /** Read-only in-memory file. */
    @SuppressWarnings("ArrayRecordComponent") // Instances are never compared.
    private record InMemoryFile(byte[] bytes) implements StorageFile {

        @Override
        public long size() {
            return bytes.length;
        }

        @Override
        public byte[] read(long position, int length) {
            int start = (int) Math.min(position, bytes.length);
            return Arrays.copyOfRange(
                    bytes, start, (int) Math.min(bytes.length, position + length));
        }

        @Override
        public void append(byte[] more) {
            throw new UnsupportedOperationException();
        }

        @Override
        public void truncate(long size) {
            throw new UnsupportedOperationException();
        }

        @Override
        public void sync() {}

        @Override
        public void close() {}
    }

    private static RandomGenerator random(long seed) {
        return RandomGeneratorFactory.of("L64X128MixRandom").create(seed);
    }

    /** Creates a log in which every record was synced separately. */
    private static byte[] log(RandomGenerator random) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        bytes.writeBytes(LogReader.fileHeader(0, 0));
        for (int index = 1; index <= ENTRIES; index++) {
            byte[] payload = new byte[random.nextInt(900) + 1];
            random.nextBytes(payload);
            LogEntry entry =
                    LogEntry.newBuilder()
                            .setIndex(index)
                            .setTerm(1)
                            .setPayload(ByteString.copyFrom(payload))
                            .build();
            bytes.writeBytes(RecordFormat.encode(entry.toByteArray(), bytes.size()));
        }
        return bytes.toByteArray();
    }

    /** Returns the number of entries read, or -1 if the file is rejected as corrupt. */
    private static int read(byte[] bytes) throws IOException {
        try {
            return LogReader.read("log", new InMemoryFile(bytes)).entries().size();
        } catch (CorruptStorageException exception) {
            assertTrue(exception.getMessage().contains("corrupt at byte"), exception.getMessage());
            return -1;
        }
    }

    /** Guards against a reader that crashes, hangs or reads entries from random bytes. */
    @Test(timeOut = 120_000)
    public void shouldRejectRandomBytes() throws IOException {
        for (long seed = 0; seed < CASES; seed++) {
            RandomGenerator random = random(seed);
            byte[] bytes = new byte[random.nextInt(4096)];
            random.nextBytes(bytes);
            assertEquals(read(bytes), -1, "seed " + seed);
            byte[] header = LogReader.fileHeader(0, 0);
            System.arraycopy(header, 0, bytes, 0, Math.min(header.length, bytes.length));
            assertTrue(read(bytes) <= 0, "seed " + seed);
        }
    }

    /** Guards against a flipped bit that silently changes or drops a synced entry. */
    @Test(timeOut = 120_000)
    public void shouldDetectEveryFlippedBit() throws IOException {
        for (long seed = 0; seed < CASES; seed++) {
            RandomGenerator random = random(seed);
            byte[] bytes = log(random);
            int position = random.nextInt(bytes.length);
            bytes[position] ^= (byte) (1 << random.nextInt(8));
            assertEquals(read(bytes), -1, "seed " + seed);
        }
    }

    /** Guards against a torn tail that is rejected or loses an earlier entry. */
    @Test(timeOut = 120_000)
    public void shouldKeepEntriesBeforeTruncation() throws IOException {
        for (long seed = 0; seed < CASES; seed++) {
            RandomGenerator random = random(seed);
            byte[] bytes = log(random);
            List<Long> offsets = LogReader.read("log", new InMemoryFile(bytes)).offsets();
            int from = LogReader.FILE_HEADER_BYTES;
            int length = from + random.nextInt(bytes.length - from + 1);
            long complete = offsets.stream().skip(1).filter(offset -> offset <= length).count();
            long expected = length == bytes.length ? ENTRIES : complete;
            assertEquals(read(Arrays.copyOf(bytes, length)), expected, "seed " + seed);
        }
    }

    /** Guards against allocating memory for a corrupt length that exceeds the file size. */
    @Test
    public void shouldNotAllocateForInvalidLength() throws IOException {
        byte[] record = RecordFormat.encode(new byte[8], LogReader.FILE_HEADER_BYTES);
        byte[] header = LogReader.fileHeader(0, 0);
        byte[] bytes = Arrays.copyOf(header, header.length + record.length);
        System.arraycopy(record, 0, bytes, header.length, record.length);
        bytes[header.length] = 0x7f;
        assertThrows(
                CorruptStorageException.class,
                () -> LogReader.read("log", new InMemoryFile(bytes)));
    }
}
