package org.yuccabank.replication;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.Arrays;
import java.util.Optional;

/** File system directory that is locked against use by another replica. Not thread-safe. */
public final class FileDirectory implements StorageDirectory {

    private static final String LOCK_FILE = "lock";
    private static final String TEMPORARY_SUFFIX = ".tmp";

    private final Path path;
    private final FileChannel lockChannel;

    private FileDirectory(Path path, FileChannel lockChannel) {
        this.path = path;
        this.lockChannel = lockChannel;
    }

    /**
     * Creates the directory if it does not exist, and locks it.
     *
     * @param path path of the directory
     * @return the locked directory
     * @throws IOException if the directory cannot be created or is locked by another replica
     */
    public static FileDirectory open(Path path) throws IOException {
        Files.createDirectories(path);
        FileChannel channel =
                FileChannel.open(
                        path.resolve(LOCK_FILE),
                        StandardOpenOption.CREATE,
                        StandardOpenOption.WRITE);
        if (!tryLock(channel)) {
            channel.close();
            throw new IOException(path + " is in use by another replica");
        }
        return new FileDirectory(path, channel);
    }

    private static boolean tryLock(FileChannel channel) throws IOException {
        try {
            FileLock lock = channel.tryLock();
            return lock != null;
        } catch (OverlappingFileLockException exception) {
            return false;
        }
    }

    @Override
    public Optional<StorageFile> open(String name) throws IOException {
        Path file = path.resolve(name);
        if (!Files.exists(file)) {
            return Optional.empty();
        }
        return Optional.of(
                new ChannelFile(
                        FileChannel.open(file, StandardOpenOption.READ, StandardOpenOption.WRITE)));
    }

    @Override
    public void replace(String name, Iterable<byte[]> bytes) throws IOException {
        Path temporary = path.resolve(name + TEMPORARY_SUFFIX);
        try {
            write(temporary, bytes);
        } catch (IOException exception) {
            // Its bytes would keep a full disk full.
            deleteQuietly(temporary);
            throw exception;
        }
        Files.move(
                temporary,
                path.resolve(name),
                StandardCopyOption.ATOMIC_MOVE,
                StandardCopyOption.REPLACE_EXISTING);
        syncDirectory();
    }

    private static void write(Path file, Iterable<byte[]> bytes) throws IOException {
        try (FileChannel channel =
                FileChannel.open(
                        file,
                        StandardOpenOption.CREATE,
                        StandardOpenOption.TRUNCATE_EXISTING,
                        StandardOpenOption.WRITE)) {
            for (byte[] part : bytes) {
                writeFully(channel, part, channel.size());
            }
            channel.force(true);
        }
    }

    private static void deleteQuietly(Path file) {
        try {
            Files.deleteIfExists(file);
        } catch (IOException ignored) {
            // Ignored because the next replacement truncates the file.
        }
    }

    private void syncDirectory() throws IOException {
        try (FileChannel channel = FileChannel.open(path, StandardOpenOption.READ)) {
            channel.force(true);
        }
    }

    private static void writeFully(FileChannel channel, byte[] bytes, long start)
            throws IOException {
        ByteBuffer buffer = ByteBuffer.wrap(bytes);
        long position = start;
        while (buffer.hasRemaining()) {
            position += channel.write(buffer, position);
        }
    }

    @Override
    public void close() throws IOException {
        lockChannel.close();
    }

    /** File accessed through a channel. */
    private record ChannelFile(FileChannel channel) implements StorageFile {

        @Override
        public long size() throws IOException {
            return channel.size();
        }

        @Override
        public byte[] read(long position, int length) throws IOException {
            int available = (int) Math.max(0, Math.min(length, channel.size() - position));
            ByteBuffer buffer = ByteBuffer.allocate(available);
            while (buffer.hasRemaining()) {
                if (channel.read(buffer, position + buffer.position()) < 0) {
                    break;
                }
            }
            return Arrays.copyOf(buffer.array(), buffer.position());
        }

        @Override
        public void append(byte[] bytes) throws IOException {
            writeFully(channel, bytes, channel.size());
        }

        @Override
        public void truncate(long size) throws IOException {
            channel.truncate(size);
        }

        @Override
        public void sync() throws IOException {
            channel.force(true);
        }

        @Override
        public void close() throws IOException {
            channel.close();
        }
    }
}
