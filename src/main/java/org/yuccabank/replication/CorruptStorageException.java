package org.yuccabank.replication;

import java.io.IOException;

/** A file of a replica holds something that no crash can explain. */
public final class CorruptStorageException extends IOException {

    private static final long serialVersionUID = 1L;

    /**
     * Creates the exception.
     *
     * @param file name of the file
     * @param offset position of the damage in bytes
     * @param problem what is wrong
     */
    public CorruptStorageException(String file, long offset, String problem) {
        super(file + " is corrupt at byte " + offset + ": " + problem);
    }
}
