package org.yuccabank.verify;

import java.nio.ByteBuffer;
import java.util.Map;
import java.util.TreeMap;
import org.yuccabank.replication.StateMachine;

/**
 * Small replicated state: a counter, a register, the version of the rules, and the last outcome of
 * every client. Keeps a digest of all applied commands, by which replicas are compared. Not
 * thread-safe.
 */
final class CheckedStateMachine implements StateMachine {

    /** Is told what a replica applies. */
    interface Observer {

        /**
         * Called after a command was applied.
         *
         * @param index position in the log
         * @param command the command
         * @param digest digest of all commands up to the position
         */
        void applied(long index, byte[] command, long digest);

        /**
         * Called after a snapshot was restored.
         *
         * @param index position of the last command in it
         * @param digest digest of all commands up to the position
         */
        void restored(long index, long digest);
    }

    private record Outcome(long sequence, Answer answer) {}

    private static final int OUTCOME_BYTES = 4 + 8 + 13;
    private static final int FIXED_BYTES = 5 * 8 + 4;

    private final VerifyOptions options;
    private final Observer observer;
    private final Map<Integer, Outcome> outcomes = new TreeMap<>();
    private long index;
    private long digest;
    private long counter;
    private long register;
    private long version;
    private int owner;

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
        observer.applied(index, command, digest);
        return answer(Operation.decode(command)).encode();
    }

    private Answer answer(Operation operation) {
        Outcome earlier = outcomes.get(operation.client());
        boolean repeated = earlier != null && operation.sequence() <= earlier.sequence();
        if (repeated && options.duplicateDetection()) {
            return earlier.answer();
        }
        Answer answer = execute(operation);
        outcomes.put(operation.client(), new Outcome(operation.sequence(), answer));
        return answer;
    }

    private Answer execute(Operation operation) {
        switch (operation.kind()) {
            case INCREMENT -> counter++;
            case WRITE -> register = operation.argument();
            case APPLY_RULES -> {
                return applyRules(operation);
            }
            default -> throw new IllegalArgumentException(operation + " is no command");
        }
        return read(operation);
    }

    private Answer applyRules(Operation operation) {
        if (operation.argument() != version && options.versionCheck()) {
            return new Answer(false, version, owner);
        }
        version = operation.argument() + 1;
        owner = operation.client();
        return new Answer(true, version, owner);
    }

    /** Reads the object that an operation concerns. */
    Answer read(Operation operation) {
        boolean ofCounter =
                operation.kind() == Operation.Kind.INCREMENT
                        || operation.kind() == Operation.Kind.READ_COUNTER;
        return new Answer(true, ofCounter ? counter : register, 0);
    }

    long digest() {
        return digest;
    }

    @Override
    public byte[] snapshot() {
        ByteBuffer buffer = ByteBuffer.allocate(FIXED_BYTES + 4 + OUTCOME_BYTES * outcomes.size());
        buffer.putLong(index).putLong(digest).putLong(counter).putLong(register);
        buffer.putLong(version).putInt(owner).putInt(outcomes.size());
        outcomes.forEach(
                (client, outcome) ->
                        buffer.putInt(client)
                                .putLong(outcome.sequence())
                                .put(outcome.answer().encode()));
        return buffer.array();
    }

    @Override
    public void restore(byte[] snapshot) {
        ByteBuffer buffer = ByteBuffer.wrap(snapshot);
        index = buffer.getLong();
        digest = buffer.getLong();
        counter = buffer.getLong();
        register = buffer.getLong();
        version = buffer.getLong();
        owner = buffer.getInt();
        outcomes.clear();
        int count = buffer.getInt();
        for (int number = 0; number < count; number++) {
            int client = buffer.getInt();
            long sequence = buffer.getLong();
            byte[] answer = new byte[13];
            buffer.get(answer);
            outcomes.put(client, new Outcome(sequence, Answer.decode(answer)));
        }
        observer.restored(index, digest);
    }
}
