package org.yuccabank.verify;

import java.nio.ByteBuffer;

/**
 * Result of an operation of the state machine.
 *
 * @param accepted false if a change of rules stated a version other than the current one
 * @param value value of the counter or register, or the current version of the rules
 * @param owner client that applied the current version of the rules; 0 for other operations
 */
record OperationResult(boolean accepted, long value, int owner) {

    byte[] encode() {
        return ByteBuffer.allocate(13)
                .put((byte) (accepted ? 1 : 0))
                .putLong(value)
                .putInt(owner)
                .array();
    }

    static OperationResult decode(byte[] bytes) {
        ByteBuffer buffer = ByteBuffer.wrap(bytes);
        return new OperationResult(buffer.get() == 1, buffer.getLong(), buffer.getInt());
    }
}
