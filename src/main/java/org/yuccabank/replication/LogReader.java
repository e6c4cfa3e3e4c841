package org.yuccabank.replication;

import com.google.protobuf.InvalidProtocolBufferException;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.yuccabank.protocol.generated.LogEntry;

/**
 * Reads log files. A torn record that a crash may have caused ends the log; any other damage is an
 * error. Memory use is limited to the file size plus one record. Not thread-safe.
 */
final class LogReader {

    /** Magic number that identifies the file format and its version. */
    static final byte[] MAGIC = {'Y', 'B', 'L', 'O', 'G', '0', '0', '1'};

    /** Size of the magic number, base index, base term and their CRC-32C checksum. */
    static final int FILE_HEADER_BYTES = MAGIC.length + 8 + 8 + 4;

    /** Unit of disk writes; a crash leaves whole sectors unwritten. */
    private static final int SECTOR_BYTES = 512;

    private static final int SCAN_BUFFER_BYTES = 1 << 16;

    /**
     * Content of a log file.
     *
     * @param baseIndex log index before the first entry
     * @param baseTerm term at the base index
     * @param entries the contiguous entries
     * @param offsets file offset of the record of each entry
     * @param endOffset file offset of the end of the last valid record
     * @param tornBytes number of bytes after the end offset, which belong to a torn write
     */
    record Content(
            long baseIndex,
            long baseTerm,
            List<LogEntry> entries,
            List<Long> offsets,
            long endOffset,
            long tornBytes) {}

    private final String name;
    private final StorageFile file;
    private final long size;

    private LogReader(String name, StorageFile file, long size) {
        this.name = name;
        this.file = file;
        this.size = size;
    }

    /**
     * Reads a complete log file.
     *
     * @param name name of the file in error messages
     * @param file the file
     * @return the content
     * @throws CorruptStorageException if the file is damaged before its tail
     * @throws IOException if the disk fails
     */
    static Content read(String name, StorageFile file) throws IOException {
        return new LogReader(name, file, file.size()).read();
    }

    static byte[] fileHeader(long baseIndex, long baseTerm) {
        ByteBuffer buffer = ByteBuffer.allocate(FILE_HEADER_BYTES);
        buffer.put(MAGIC).putLong(baseIndex).putLong(baseTerm);
        buffer.putInt(RecordFormat.checksum(buffer.array(), 0, FILE_HEADER_BYTES - 4));
        return buffer.array();
    }

    private Content read() throws IOException {
        byte[] headerBytes = file.read(0, FILE_HEADER_BYTES);
        checkFileHeader(headerBytes);
        ByteBuffer header = ByteBuffer.wrap(headerBytes);
        long baseIndex = header.getLong(MAGIC.length);
        long baseTerm = header.getLong(MAGIC.length + 8);
        List<LogEntry> entries = new ArrayList<>();
        List<Long> offsets = new ArrayList<>();
        long position = FILE_HEADER_BYTES;
        while (position < size) {
            byte[] payload = readPayload(position);
            if (payload == null) {
                checkNothingSyncedAfter(position);
                break;
            }
            LogEntry entry = decodeEntry(payload, position);
            checkOrder(
                    entry, baseIndex + entries.size() + 1, lastTerm(entries, baseTerm), position);
            entries.add(entry);
            offsets.add(position);
            position += RecordFormat.HEADER_BYTES + payload.length;
        }
        return new Content(baseIndex, baseTerm, entries, offsets, position, size - position);
    }

    private void checkFileHeader(byte[] header) throws IOException {
        int checksummedBytes = FILE_HEADER_BYTES - Integer.BYTES;
        boolean valid =
                header.length == FILE_HEADER_BYTES
                        && Arrays.equals(header, 0, MAGIC.length, MAGIC, 0, MAGIC.length)
                        && ByteBuffer.wrap(header).getInt(checksummedBytes)
                                == RecordFormat.checksum(header, 0, checksummedBytes);
        if (!valid) {
            throw new CorruptStorageException(name, 0, "the file header is damaged");
        }
    }

    private static long lastTerm(List<LogEntry> entries, long baseTerm) {
        return entries.isEmpty() ? baseTerm : entries.get(entries.size() - 1).getTerm();
    }

    private LogEntry decodeEntry(byte[] payload, long position) throws IOException {
        try {
            return LogEntry.parseFrom(payload);
        } catch (InvalidProtocolBufferException exception) {
            throw new CorruptStorageException(name, position, "the record is no log entry");
        }
    }

    private void checkOrder(LogEntry entry, long index, long lastTerm, long position)
            throws IOException {
        if (entry.getIndex() != index || entry.getTerm() < lastTerm) {
            throw new CorruptStorageException(
                    name,
                    position,
                    "entry " + entry.getIndex() + " stands where " + index + " belongs");
        }
    }

    /** Returns the payload of a record, or null if the record may be a torn write. */
    private byte[] readPayload(long position) throws IOException {
        byte[] headerBytes = file.read(position, RecordFormat.HEADER_BYTES);
        if (headerBytes.length < RecordFormat.HEADER_BYTES) {
            return null;
        }
        RecordFormat.Header header = RecordFormat.decodeHeader(headerBytes, 0);
        if (header == null) {
            requireTornWrite(position, headerBytes, "the record header is damaged");
            return null;
        }
        byte[] payload = file.read(position + RecordFormat.HEADER_BYTES, header.length());
        if (payload.length < header.length()) {
            return null;
        }
        if (RecordFormat.checksum(payload, 0, payload.length) != header.payloadChecksum()) {
            requireTornWrite(
                    position + RecordFormat.HEADER_BYTES, payload, "the checksum is wrong");
            return null;
        }
        return payload;
    }

    /** Checks for an unwritten sector, which reads as zeros; any other damage is corruption. */
    private void requireTornWrite(long position, byte[] bytes, String problem) throws IOException {
        int start = 0;
        while (start < bytes.length) {
            int remainingSectorBytes = SECTOR_BYTES - (int) ((position + start) % SECTOR_BYTES);
            int end = Math.min(bytes.length, start + remainingSectorBytes);
            if (isZero(bytes, start, end)) {
                return;
            }
            start = end;
        }
        throw new CorruptStorageException(name, position, problem);
    }

    private static boolean isZero(byte[] bytes, int start, int end) {
        for (int index = start; index < end; index++) {
            if (bytes[index] != 0) {
                return false;
            }
        }
        return true;
    }

    /**
     * Checks that no later record belongs to a batch written after the damaged record was synced.
     */
    private void checkNothingSyncedAfter(long damagedPosition) throws IOException {
        long position = damagedPosition + 1;
        while (position + RecordFormat.HEADER_BYTES <= size) {
            byte[] bytes = file.read(position, SCAN_BUFFER_BYTES);
            int last = bytes.length - RecordFormat.HEADER_BYTES;
            for (int offset = 0; offset <= last; offset++) {
                RecordFormat.Header header = RecordFormat.decodeHeader(bytes, offset);
                if (header != null
                        && header.batchStartOffset() > damagedPosition
                        && header.batchStartOffset() <= position + offset) {
                    throw new CorruptStorageException(
                            name,
                            damagedPosition,
                            "a later record proves that this one was synced");
                }
            }
            position += last + 1;
        }
    }
}
