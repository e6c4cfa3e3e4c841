package org.yuccabank.security;

import java.nio.file.Path;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.yuccabank.result.Result;

/** Authenticator that reloads its credentials file when the file changes. Thread-safe. */
public final class ReloadingCredentials implements Authenticator {

    private final ReloadingValue<Credentials> credentials;

    private ReloadingCredentials(ReloadingValue<Credentials> credentials) {
        this.credentials = credentials;
    }

    /**
     * Loads a credentials file.
     *
     * @param file the file
     * @return the authenticator, or all findings about the file
     */
    public static Result<ReloadingCredentials> load(Path file) {
        Objects.requireNonNull(file, "file is null");
        return ReloadingValue.load(List.of(file), () -> Credentials.read(file))
                .map(ReloadingCredentials::new);
    }

    /**
     * Starts to check the file periodically for changes, until {@link #stop}.
     *
     * @return this authenticator
     */
    public ReloadingCredentials start() {
        credentials.start(ReloadingValue.DEFAULT_INTERVAL);
        return this;
    }

    /** Stops checking the file for changes. */
    public void stop() {
        credentials.stop();
    }

    /**
     * Reloads the file if it has changed.
     *
     * @return true if new credentials took effect
     */
    public boolean refresh() {
        return credentials.refresh();
    }

    @Override
    public Optional<Principal> authenticate(Secret token) {
        return credentials.current().authenticate(token);
    }
}
