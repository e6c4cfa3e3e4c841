package org.yuccabank.replication;

import java.io.Closeable;
import java.io.IOException;

/** An open file of a {@link StorageDirectory}. Not thread-safe. */
public interface StorageFile extends Closeable {

    /**
     * Present length.
     *
     * @return the length in bytes
     * @throws IOException if the disk fails
     */
    long size() throws IOException;

    /**
     * Reads bytes.
     *
     * @param position position of the first byte
     * @param length number of bytes
     * @return the bytes, fewer than asked for at the end of the file
     * @throws IOException if the disk fails
     */
    byte[] read(long position, int length) throws IOException;

    /**
     * Appends bytes at the end; they are durable after the next {@link #sync}.
     *
     * @param bytes the bytes
     * @throws IOException if the disk fails or is full
     */
    void append(byte[] bytes) throws IOException;

    /**
     * Cuts the file; durable after the next {@link #sync}.
     *
     * @param size the new length
     * @throws IOException if the disk fails
     */
    void truncate(long size) throws IOException;

    /**
     * Makes all earlier changes durable.
     *
     * @throws IOException if the disk fails; what is durable is then unknown
     */
    void sync() throws IOException;

    @Override
    void close() throws IOException;
}
