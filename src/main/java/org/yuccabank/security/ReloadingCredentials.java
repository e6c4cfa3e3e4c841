package org.yuccabank.security;

import java.nio.file.Path;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.yuccabank.result.Result;

/** Credentials that follow changes of their file without restart. Safe for several threads. */
public final class ReloadingCredentials implements Authenticator {

    private final ReloadingValue<Credentials> credentials;

    private ReloadingCredentials(ReloadingValue<Credentials> credentials) {
        this.credentials = credentials;
    }

    /**
     * Reads a credentials file.
     *
     * @param file the file
     * @return the credentials, or all faults of the file
     */
    public static Result<ReloadingCredentials> load(Path file) {
        Objects.requireNonNull(file, "file is null");
        return ReloadingValue.load(List.of(file), () -> Credentials.read(file))
                .map(ReloadingCredentials::new);
    }

    /**
     * Follows changes of the file until {@link #stop}.
     *
     * @return this authenticator
     */
    public ReloadingCredentials start() {
        credentials.start(ReloadingValue.DEFAULT_INTERVAL);
        return this;
    }

    /** Stops following changes. */
    public void stop() {
        credentials.stop();
    }

    /**
     * Reads the file again if it has changed.
     *
     * @return true if new credentials are in force
     */
    public boolean refresh() {
        return credentials.refresh();
    }

    @Override
    public Optional<Principal> authenticate(Secret token) {
        return credentials.current().authenticate(token);
    }
}
