package org.yuccabank.replication;

import java.io.Closeable;
import java.io.IOException;
import java.util.Optional;

/** Directory that holds the durable files of a replica. Not thread-safe. */
public interface StorageDirectory extends Closeable {

    /**
     * Opens an existing file for reading and appending.
     *
     * @param name name of the file
     * @return the file, or empty if it does not exist
     * @throws IOException if the disk fails
     */
    Optional<StorageFile> open(String name) throws IOException;

    /**
     * Replaces a file atomically and durably. After a failure or a crash, the file has either the
     * old or the new content.
     *
     * @param name name of the file
     * @param bytes consecutive parts of the new content
     * @throws IOException if the disk fails or is full
     */
    void replace(String name, Iterable<byte[]> bytes) throws IOException;

    @Override
    void close() throws IOException;
}
