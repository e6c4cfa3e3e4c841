package org.yuccabank.security;

import java.util.Locale;
import java.util.Optional;

/** Authenticates the senders of requests. Implementations are thread-safe. */
@FunctionalInterface
public interface Authenticator {

    /**
     * Authenticates the holder of a token.
     *
     * @param token the token
     * @return the holder; empty if the token is unknown
     */
    Optional<Principal> authenticate(Secret token);

    /**
     * Authenticates the sender of a request by its {@code Authorization} header.
     *
     * @param authorization value of the header, or null if it is absent
     * @return the sender; empty if the header has no valid bearer token
     */
    default Optional<Principal> authenticateHeader(String authorization) {
        String schemePrefix = "bearer ";
        if (authorization == null
                || authorization.length() <= schemePrefix.length()
                || !authorization
                        .substring(0, schemePrefix.length())
                        .toLowerCase(Locale.ROOT)
                        .equals(schemePrefix)) {
            return Optional.empty();
        }
        return authenticate(Secret.of(authorization.substring(schemePrefix.length()).strip()));
    }
}
