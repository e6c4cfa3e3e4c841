package org.yuccabank.replication;

import java.io.IOException;
import java.util.Arrays;
import java.util.Optional;

/**
 * Directory whose files accept no bytes while the disk is full; an append then writes half of them.
 * Thread-safe as far as the fault is switched by another thread.
 */
final class FailingDirectory implements StorageDirectory {

    /** A disk that can be filled. */
    static final class Disk {

        private volatile boolean full;
        private volatile boolean closeFails;

        void setFull(boolean value) {
            full = value;
        }

        /** Makes the close of each file report an error. */
        void setCloseFails(boolean value) {
            closeFails = value;
        }

        private void requireSpace() throws IOException {
            if (full) {
                throw new IOException("no space left on device");
            }
        }
    }

    private final StorageDirectory directory;
    private final Disk disk;

    FailingDirectory(StorageDirectory directory, Disk disk) {
        this.directory = directory;
        this.disk = disk;
    }

    @Override
    public Optional<StorageFile> open(String name) throws IOException {
        return directory.open(name).map(file -> new FailingFile(file, disk));
    }

    @Override
    public void replace(String name, Iterable<byte[]> bytes) throws IOException {
        disk.requireSpace();
        directory.replace(name, bytes);
    }

    @Override
    public void close() throws IOException {
        directory.close();
    }

    /** File on the disk. */
    private record FailingFile(StorageFile file, Disk disk) implements StorageFile {

        @Override
        public long size() throws IOException {
            return file.size();
        }

        @Override
        public byte[] read(long position, int length) throws IOException {
            return file.read(position, length);
        }

        @Override
        public void append(byte[] bytes) throws IOException {
            if (disk.full) {
                file.append(Arrays.copyOf(bytes, bytes.length / 2));
            }
            disk.requireSpace();
            file.append(bytes);
        }

        @Override
        public void truncate(long size) throws IOException {
            file.truncate(size);
        }

        @Override
        public void sync() throws IOException {
            file.sync();
        }

        @Override
        public void close() throws IOException {
            file.close();
            if (disk.closeFails) {
                throw new IOException("input/output error");
            }
        }
    }
}
