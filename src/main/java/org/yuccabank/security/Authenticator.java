package org.yuccabank.security;

import java.util.Locale;
import java.util.Optional;

/** Tells who sent a request. Implementations are safe for use by several threads. */
@FunctionalInterface
public interface Authenticator {

    /**
     * Authenticates the holder of a token.
     *
     * @param token the token
     * @return the holder, empty if the token is unknown
     */
    Optional<Principal> authenticate(Secret token);

    /**
     * Authenticates the sender of a request by its {@code Authorization} header.
     *
     * @param authorization value of the header, null if it is absent
     * @return the sender, empty if the header holds no valid bearer token
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
