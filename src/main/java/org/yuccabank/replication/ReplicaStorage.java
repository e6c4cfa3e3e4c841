package org.yuccabank.replication;

import java.io.IOException;

/** Durable state of a replica. Must not be used after an exception. Not thread-safe. */
interface ReplicaStorage {

    /**
     * Loads the durable state, or creates it for a new replica. What is returned is durable, even
     * if an earlier write or sync of it has failed.
     *
     * @return the state
     * @throws CorruptStorageException if the state is damaged
     * @throws IOException if the disk fails or is full
     */
    StoredState load() throws IOException;

    /**
     * Loads the durable state of a replica that has loaded it before, which is never created anew.
     *
     * @return the state
     * @throws CorruptStorageException if the state is damaged or missing
     * @throws IOException if the disk fails or is full
     */
    StoredState reload() throws IOException;

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
     * Closes the files.
     *
     * @throws IOException if the disk fails
     */
    void close() throws IOException;
}
