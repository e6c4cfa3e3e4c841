package org.yuccabank.replication;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicBoolean;

/** State machine that records the applied commands. Thread-safe. */
final class RecordingStateMachine implements StateMachine {

    private final List<String> commands = new CopyOnWriteArrayList<>();
    private final AtomicBoolean failing = new AtomicBoolean();

    /** Makes the next command fail with an exception. */
    void failNextCommand() {
        failing.set(true);
    }

    @Override
    public byte[] apply(long index, byte[] command) {
        if (failing.getAndSet(false)) {
            throw new IllegalStateException("intentional failure");
        }
        commands.add(new String(command, StandardCharsets.UTF_8));
        return Integer.toString(commands.size()).getBytes(StandardCharsets.UTF_8);
    }

    @Override
    public byte[] snapshot() {
        return String.join("\n", commands).getBytes(StandardCharsets.UTF_8);
    }

    @Override
    public void restore(byte[] snapshot) {
        commands.clear();
        String text = new String(snapshot, StandardCharsets.UTF_8);
        if (!text.isEmpty()) {
            commands.addAll(List.of(text.split("\n", -1)));
        }
    }

    List<String> commands() {
        return commands;
    }
}
