package org.yuccabank.replication;

import java.io.IOException;

/** Durable state of one replica. After an exception it must not be used again. Not thread-safe. */
interface ReplicaStorage {

    /**
     * Reads the durable state, or creates it for a new replica.
     *
     * @return the state
     * @throws CorruptStorageException if it is damaged
     * @throws IOException if the disk fails
     */
    StoredState load() throws IOException;

    /**
     * Writes changes. They are durable after the next {@link #sync}.
     *
     * @param batch the changes
     * @throws IOException if the disk fails or is full
     */
    void write(WriteBatch batch) throws IOException;

    /**
     * Makes all written changes durable.
     *
     * @throws IOException if the disk fails or is full
     */
    void sync() throws IOException;

    /**
     * Releases the files.
     *
     * @throws IOException if the disk fails
     */
    void close() throws IOException;
}
