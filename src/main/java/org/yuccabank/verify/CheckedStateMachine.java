package org.yuccabank.verify;

import java.nio.ByteBuffer;
import java.util.Map;
import java.util.TreeMap;
import org.yuccabank.replication.StateMachine;

/**
 * State machine with a counter, a register, the version of the rules and the last result of each
 * client. Maintains a digest of all applied commands, which is used to compare replicas. Not
 * thread-safe.
 */
final class CheckedStateMachine implements StateMachine {

    /** Observer of the commands and snapshots that a replica applies. */
    interface Observer {

        /**
         * Called after a command was applied.
         *
         * @param index log index of the command
         * @param command the command
         * @param digest digest of all commands up to the index
         */
        void onApplied(long index, byte[] command, long digest);

        /**
         * Called after a snapshot was restored.
         *
         * @param index log index of the last command in the snapshot
         * @param digest digest of all commands up to the index
         */
        void onRestored(long index, long digest);
    }

    private record ClientResult(long sequence, OperationResult result) {}

    private static final int CLIENT_RESULT_BYTES = 4 + 8 + 13;
    private static final int FIXED_FIELD_BYTES = 5 * 8 + 4;

    private final VerifyOptions options;
    private final Observer observer;
    private final Map<Integer, ClientResult> lastResults = new TreeMap<>();
    private long index;
    private long digest;
    private long counter;
    private long register;
    private long rulesVersion;
    private int rulesOwner;

    CheckedStateMachine(VerifyOptions options, Observer observer) {
        this.options = options;
        this.observer = observer;
    }

    @Override
    public byte[] apply(long position, byte[] command) {
        index = position;
        digest = digest * 1_000_003 + position;
        for (byte each : command) {
            digest = digest * 31 + each;
        }
        observer.onApplied(index, command, digest);
        return applyOnce(Operation.decode(command)).encode();
    }

    private OperationResult applyOnce(Operation operation) {
        ClientResult previous = lastResults.get(operation.client());
        boolean duplicate = previous != null && operation.sequence() <= previous.sequence();
        if (duplicate && options.duplicateDetection()) {
            return previous.result();
        }
        OperationResult result = execute(operation);
        lastResults.put(operation.client(), new ClientResult(operation.sequence(), result));
        return result;
    }

    private OperationResult execute(Operation operation) {
        switch (operation.kind()) {
            case INCREMENT -> counter++;
            case WRITE -> register = operation.argument();
            case APPLY_RULES -> {
                return applyRules(operation);
            }
            default -> throw new IllegalArgumentException(operation + " is not a command");
        }
        return read(operation);
    }

    private OperationResult applyRules(Operation operation) {
        if (operation.argument() != rulesVersion && options.versionCheck()) {
            return new OperationResult(false, rulesVersion, rulesOwner);
        }
        rulesVersion = operation.argument() + 1;
        rulesOwner = operation.client();
        return new OperationResult(true, rulesVersion, rulesOwner);
    }

    /** Returns the value of the object that the operation concerns. */
    OperationResult read(Operation operation) {
        boolean concernsCounter =
                operation.kind() == Operation.Kind.INCREMENT
                        || operation.kind() == Operation.Kind.READ_COUNTER;
        return new OperationResult(true, concernsCounter ? counter : register, 0);
    }

    long digest() {
        return digest;
    }

    @Override
    public byte[] snapshot() {
        ByteBuffer buffer =
                ByteBuffer.allocate(
                        FIXED_FIELD_BYTES + 4 + CLIENT_RESULT_BYTES * lastResults.size());
        buffer.putLong(index).putLong(digest).putLong(counter).putLong(register);
        buffer.putLong(rulesVersion).putInt(rulesOwner).putInt(lastResults.size());
        lastResults.forEach(
                (client, clientResult) ->
                        buffer.putInt(client)
                                .putLong(clientResult.sequence())
                                .put(clientResult.result().encode()));
        return buffer.array();
    }

    @Override
    public void restore(byte[] snapshot) {
        if (snapshot.length == 0) {
            reset();
            return;
        }
        ByteBuffer buffer = ByteBuffer.wrap(snapshot);
        index = buffer.getLong();
        digest = buffer.getLong();
        counter = buffer.getLong();
        register = buffer.getLong();
        rulesVersion = buffer.getLong();
        rulesOwner = buffer.getInt();
        lastResults.clear();
        int count = buffer.getInt();
        for (int number = 0; number < count; number++) {
            int client = buffer.getInt();
            long sequence = buffer.getLong();
            byte[] result = new byte[13];
            buffer.get(result);
            lastResults.put(client, new ClientResult(sequence, OperationResult.decode(result)));
        }
        observer.onRestored(index, digest);
    }

    private void reset() {
        index = 0;
        digest = 0;
        counter = 0;
        register = 0;
        rulesVersion = 0;
        rulesOwner = 0;
        lastResults.clear();
    }
}
