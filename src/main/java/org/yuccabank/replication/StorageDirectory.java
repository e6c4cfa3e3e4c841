package org.yuccabank.replication;

import java.io.Closeable;
import java.io.IOException;
import java.util.Optional;

/** Directory with the durable files of one replica. Not thread-safe. */
public interface StorageDirectory extends Closeable {

    /**
     * Opens a file for appending.
     *
     * @param name name of the file
     * @return the file, empty if there is none
     * @throws IOException if the disk fails
     */
    Optional<StorageFile> open(String name) throws IOException;

    /**
     * Writes a whole file. Afterwards it is durable; after a failure or a crash the file is either
     * the earlier or the new one.
     *
     * @param name name of the file
     * @param bytes the content, one part after the other
     * @throws IOException if the disk fails or is full
     */
    void replace(String name, Iterable<byte[]> bytes) throws IOException;

    @Override
    void close() throws IOException;
}
