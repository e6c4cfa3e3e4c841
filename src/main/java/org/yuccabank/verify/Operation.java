package org.yuccabank.verify;

import java.nio.charset.StandardCharsets;
import java.util.List;

/**
 * Client operation, identified by client and sequence number.
 *
 * @param client number of the client
 * @param sequence sequence number of the operation within the client
 * @param kind kind of the operation
 * @param argument value to write, or expected version of the rules
 */
record Operation(int client, long sequence, Kind kind, long argument) {

    /** Kinds of operations. */
    enum Kind {
        /** Increments the counter and returns the new value. */
        INCREMENT,
        /** Returns the value of the counter. */
        READ_COUNTER,
        /** Writes the register. */
        WRITE,
        /** Returns the value of the register. */
        READ_REGISTER,
        /** Applies a new version of the rules if the expected version is the current one. */
        APPLY_RULES
    }

    boolean isRead() {
        return kind == Kind.READ_COUNTER || kind == Kind.READ_REGISTER;
    }

    byte[] encode() {
        return (client + " " + sequence + " " + kind + " " + argument)
                .getBytes(StandardCharsets.UTF_8);
    }

    static Operation decode(byte[] bytes) {
        List<String> words = List.of(new String(bytes, StandardCharsets.UTF_8).split(" ", -1));
        return new Operation(
                Integer.parseInt(words.get(0)),
                Long.parseLong(words.get(1)),
                Kind.valueOf(words.get(2)),
                Long.parseLong(words.get(3)));
    }
}
