package org.yuccabank.verify;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.yuccabank.replication.StorageFile;

/**
 * In-memory disk that records each write since the last sync. At a loss of power each of them is
 * kept, lost or torn independently of the others, or all are lost; a new name that was not synced
 * with its directory is kept or lost. Writes whose sync has failed can be read, but are lost at the
 * next loss of power even if a later sync succeeds. Not thread-safe.
 */
final class PowerLossDisk implements SimulatedDisk {

    private static final int NO_FAILURE = Integer.MAX_VALUE;

    /** Fraction of the losses of power that lose all writes since the last sync. */
    private static final double TOTAL_LOSS_PROBABILITY = 0.25;

    private final Simulation simulation;
    private final Map<String, WrittenFile> files = new TreeMap<>();
    private final Map<String, WrittenFile> durableFiles = new HashMap<>();
    private final Set<String> failedNames = new HashSet<>();
    private boolean full;
    private int operationsUntilFailure = NO_FAILURE;

    PowerLossDisk(Simulation simulation) {
        this.simulation = simulation;
    }

    @Override
    public void setFull(boolean newFull) {
        full = newFull;
    }

    @Override
    public void failAfter(int operations) {
        operationsUntilFailure = operations;
    }

    @Override
    public void clearFaults() {
        full = false;
        operationsUntilFailure = NO_FAILURE;
    }

    private void failIfDue() throws IOException {
        if (operationsUntilFailure == NO_FAILURE) {
            return;
        }
        operationsUntilFailure--;
        if (operationsUntilFailure < 0) {
            operationsUntilFailure = NO_FAILURE;
            simulation.countFault(Fault.DISK_ERROR);
            throw new IOException("input/output error");
        }
    }

    private void failIfFull() throws IOException {
        if (full) {
            simulation.countFault(Fault.DISK_FULL);
            throw new IOException("no space left on device");
        }
    }

    @Override
    public Optional<StorageFile> open(String name) {
        return Optional.ofNullable(files.get(name));
    }

    /** Writes and syncs a temporary file, renames it and syncs the directory. */
    @Override
    public void replace(String name, Iterable<byte[]> parts) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        parts.forEach(bytes::writeBytes);
        failIfFull();
        failIfDue();
        WrittenFile replacement = new WrittenFile(bytes.toByteArray());
        failIfDue();
        files.put(name, replacement);
        failedNames.remove(name);
        try {
            failIfDue();
        } catch (IOException exception) {
            files.keySet().stream()
                    .filter(each -> files.get(each) != durableFiles.get(each))
                    .forEach(failedNames::add);
            throw exception;
        }
        files.forEach(
                (each, file) -> {
                    if (!failedNames.contains(each)) {
                        durableFiles.put(each, file);
                    }
                });
    }

    @Override
    public void crash() {
        boolean totalLoss = simulation.nextBoolean(TOTAL_LOSS_PROBABILITY);
        for (String name : List.copyOf(files.keySet())) {
            WrittenFile durable = durableFiles.get(name);
            boolean renameLost = totalLoss || simulation.random().nextBoolean();
            if (files.get(name) != durable && renameLost) {
                if (durable == null) {
                    files.remove(name);
                } else {
                    files.put(name, durable);
                }
            }
        }
        files.values().forEach(file -> file.crash(totalLoss));
        durableFiles.clear();
        durableFiles.putAll(files);
        failedNames.clear();
    }

    /** Write of bytes at a position, or truncation to it if there are no bytes. */
    @SuppressWarnings("ArrayRecordComponent") // Instances are never compared.
    private record Change(int position, byte[] bytes) {

        private byte[] applyTo(byte[] content) {
            if (bytes.length == 0) {
                return Arrays.copyOf(content, Math.min(position, content.length));
            }
            byte[] changed =
                    Arrays.copyOf(content, Math.max(content.length, position + bytes.length));
            System.arraycopy(bytes, 0, changed, position, bytes.length);
            return changed;
        }
    }

    /** In-memory file. */
    private final class WrittenFile implements StorageFile {

        private final List<Change> unsynced = new ArrayList<>();
        private byte[] durable;
        private byte[] content;

        private WrittenFile(byte[] content) {
            this.content = content;
            durable = content;
        }

        @Override
        public long size() {
            return content.length;
        }

        @Override
        public byte[] read(long position, int length) {
            int start = (int) Math.min(position, content.length);
            return Arrays.copyOfRange(
                    content, start, (int) Math.min(content.length, position + length));
        }

        @Override
        public void append(byte[] bytes) throws IOException {
            failIfDue();
            int written = full ? simulation.random().nextInt(bytes.length) : bytes.length;
            if (written > 0) {
                change(new Change(content.length, Arrays.copyOf(bytes, written)));
            }
            failIfFull();
        }

        @Override
        public void truncate(long newSize) throws IOException {
            failIfDue();
            change(new Change((int) newSize, new byte[0]));
        }

        private void change(Change change) {
            unsynced.add(change);
            content = change.applyTo(content);
        }

        @Override
        public void sync() throws IOException {
            try {
                failIfDue();
            } catch (IOException exception) {
                unsynced.clear();
                throw exception;
            }
            for (Change change : unsynced) {
                durable = change.applyTo(durable);
            }
            unsynced.clear();
        }

        private void crash(boolean totalLoss) {
            if (!totalLoss) {
                unsynced.forEach(this::keepOrLose);
            }
            unsynced.clear();
            content = durable;
        }

        private void keepOrLose(Change change) {
            switch (simulation.random().nextInt(3)) {
                case 0 -> durable = change.applyTo(durable);
                case 1 -> tear(change);
                default -> {
                    // The change is lost.
                }
            }
        }

        private void tear(Change change) {
            if (change.bytes().length > 1) {
                simulation.countFault(Fault.RECORD_TORN);
                int kept = simulation.random().nextInt(change.bytes().length - 1) + 1;
                durable =
                        new Change(change.position(), Arrays.copyOf(change.bytes(), kept))
                                .applyTo(durable);
            }
        }

        @Override
        public void close() {}
    }
}
