package org.yuccabank.replication;

import java.nio.ByteBuffer;
import java.util.zip.CRC32C;

/**
 * Format of log file records. A record is a header with the payload length, the file offset at
 * which its batch starts, the CRC-32C of the payload and the CRC-32C of the header, followed by the
 * payload.
 *
 * <p>All data before the start of a batch is synced before the batch is written. A valid record
 * therefore proves that damage before the start of its batch is not a torn write.
 */
final class RecordFormat {

    static final int HEADER_BYTES = 20;

    /** Exceeds the size of all entries that a leader accepts. */
    static final int MAXIMUM_PAYLOAD_BYTES = 8 << 20;

    private static final int HEADER_CHECKSUMMED_BYTES = 16;

    /**
     * Decoded record header.
     *
     * @param length length of the payload in bytes
     * @param batchStartOffset file offset at which the batch of the record starts
     * @param payloadChecksum CRC-32C of the payload
     */
    record Header(int length, long batchStartOffset, int payloadChecksum) {}

    private RecordFormat() {}

    static int checksum(byte[] bytes, int offset, int length) {
        CRC32C checksum = new CRC32C();
        checksum.update(bytes, offset, length);
        return (int) checksum.getValue();
    }

    static byte[] encode(byte[] payload, long batchStartOffset) {
        ByteBuffer buffer = ByteBuffer.allocate(HEADER_BYTES + payload.length);
        buffer.putInt(payload.length);
        buffer.putLong(batchStartOffset);
        buffer.putInt(checksum(payload, 0, payload.length));
        buffer.putInt(checksum(buffer.array(), 0, HEADER_CHECKSUMMED_BYTES));
        buffer.put(payload);
        return buffer.array();
    }

    /** Decodes a header; returns null if its checksum or a field is invalid. */
    static Header decodeHeader(byte[] bytes, int offset) {
        ByteBuffer buffer = ByteBuffer.wrap(bytes, offset, HEADER_BYTES);
        int length = buffer.getInt();
        long batchStartOffset = buffer.getLong();
        int payloadChecksum = buffer.getInt();
        boolean inRange = length >= 0 && length <= MAXIMUM_PAYLOAD_BYTES && batchStartOffset >= 0;
        if (!inRange || buffer.getInt() != checksum(bytes, offset, HEADER_CHECKSUMMED_BYTES)) {
            return null;
        }
        return new Header(length, batchStartOffset, payloadChecksum);
    }
}
