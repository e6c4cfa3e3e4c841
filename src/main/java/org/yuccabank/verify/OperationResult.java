package org.yuccabank.verify;

import java.nio.ByteBuffer;

/**
 * Answer of the state machine.
 *
 * @param accepted false if a change of rules named a version that is not the present one
 * @param value value of the counter or register, or present version of the rules
 * @param owner client whose rules are the present version, 0 for other operations
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
