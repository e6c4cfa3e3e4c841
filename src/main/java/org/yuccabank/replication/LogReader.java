package org.yuccabank.replication;

import com.google.protobuf.InvalidProtocolBufferException;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.yuccabank.protocol.generated.LogEntry;

/**
 * Reads a log file. A record that a crash may have torn ends the log; any other damage is an error.
 * Memory is bounded by the size of the file plus one record. Not thread-safe.
 */
final class LogReader {

    /** Identifies the file and its format. */
    static final byte[] MAGIC = {'Y', 'B', 'L', 'O', 'G', '0', '0', '1'};

    /** Magic, base index, base term and their CRC-32C. */
    static final int FILE_HEADER_BYTES = MAGIC.length + 8 + 8 + 4;

    /** A crash leaves blocks of this size unwritten. */
    private static final int SECTOR_BYTES = 512;

    private static final int SCAN_BUFFER_BYTES = 1 << 16;

    /**
     * Content of a log file.
     *
     * @param baseIndex log position before the first entry
     * @param baseTerm term of that position
     * @param entries the entries, without gaps
     * @param offsets where the record of each entry starts
     * @param endOffset end of the last valid record
     * @param tornBytes bytes after the end that a crash left incomplete
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
     * Reads a whole file.
     *
     * @param name name of the file for messages
     * @param file the file
     * @return its content
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
        int checked = FILE_HEADER_BYTES - Integer.BYTES;
        boolean valid =
                header.length == FILE_HEADER_BYTES
                        && Arrays.equals(header, 0, MAGIC.length, MAGIC, 0, MAGIC.length)
                        && ByteBuffer.wrap(header).getInt(checked)
                                == RecordFormat.checksum(header, 0, checked);
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

    /** The payload of a record, or null if a crash may have torn it. */
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

    /** A crash leaves whole sectors unwritten, which read as zeros; anything else is corruption. */
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

    /** Looks for a later record whose batch was written after the damaged position was synced. */
    private void checkNothingSyncedAfter(long damaged) throws IOException {
        long position = damaged + 1;
        while (position + RecordFormat.HEADER_BYTES <= size) {
            byte[] bytes = file.read(position, SCAN_BUFFER_BYTES);
            int last = bytes.length - RecordFormat.HEADER_BYTES;
            for (int offset = 0; offset <= last; offset++) {
                RecordFormat.Header header = RecordFormat.decodeHeader(bytes, offset);
                if (header != null
                        && header.batchStartOffset() > damaged
                        && header.batchStartOffset() <= position + offset) {
                    throw new CorruptStorageException(
                            name, damaged, "a later record proves that this one was synced");
                }
            }
            position += last + 1;
        }
    }
}
