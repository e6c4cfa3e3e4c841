package org.yuccabank.settings;

import java.nio.file.Path;
import java.util.Objects;

/**
 * PEM files of a process. Immutable.
 *
 * @param certificateFile certificate chain of the process
 * @param keyFile its private key
 * @param trustFile certificates of the authorities that sign peers
 */
public record TlsFiles(Path certificateFile, Path keyFile, Path trustFile) {

    /** Checks the parts. */
    public TlsFiles {
        Objects.requireNonNull(certificateFile, "certificateFile is null");
        Objects.requireNonNull(keyFile, "keyFile is null");
        Objects.requireNonNull(trustFile, "trustFile is null");
    }
}
