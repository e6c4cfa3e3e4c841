package org.yuccabank.replication;

import java.io.Closeable;
import java.io.IOException;

/** Open file in a {@link StorageDirectory}. Not thread-safe. */
public interface StorageFile extends Closeable {

    /**
     * Returns the current size of the file.
     *
     * @return the size in bytes
     * @throws IOException if the disk fails
     */
    long size() throws IOException;

    /**
     * Reads bytes at a file offset.
     *
     * @param position offset of the first byte
     * @param length maximum number of bytes to read
     * @return the bytes, fewer than requested at the end of the file
     * @throws IOException if the disk fails
     */
    byte[] read(long position, int length) throws IOException;

    /**
     * Appends bytes to the file. They are durable after the next {@link #sync}.
     *
     * @param bytes the bytes
     * @throws IOException if the disk fails or is full
     */
    void append(byte[] bytes) throws IOException;

    /**
     * Truncates the file. The change is durable after the next {@link #sync}.
     *
     * @param size the new size in bytes
     * @throws IOException if the disk fails
     */
    void truncate(long size) throws IOException;

    /**
     * Makes all earlier changes durable.
     *
     * @throws IOException if the disk fails; it is then unknown which changes are durable
     */
    void sync() throws IOException;

    @Override
    void close() throws IOException;
}
