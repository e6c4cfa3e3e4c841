package org.yuccabank.replication;

import java.io.IOException;

/** Thrown when a storage file is damaged in a way that a crash cannot have caused. */
public final class CorruptStorageException extends IOException {

    private static final long serialVersionUID = 1L;

    /**
     * Creates the exception.
     *
     * @param file name of the file
     * @param offset offset of the damage in bytes
     * @param problem description of the damage
     */
    public CorruptStorageException(String file, long offset, String problem) {
        super(file + " is corrupt at byte " + offset + ": " + problem);
    }
}
