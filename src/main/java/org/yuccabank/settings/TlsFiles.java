package org.yuccabank.settings;

import java.nio.file.Path;
import java.util.Objects;

/**
 * PEM files of a process. Immutable.
 *
 * @param certificateFile certificate chain of the process
 * @param keyFile private key of the certificate
 * @param trustFile CA certificates that verify the certificates of peers
 */
public record TlsFiles(Path certificateFile, Path keyFile, Path trustFile) {

    /** Validates the components. */
    public TlsFiles {
        Objects.requireNonNull(certificateFile, "certificateFile is null");
        Objects.requireNonNull(keyFile, "keyFile is null");
        Objects.requireNonNull(trustFile, "trustFile is null");
    }
}
