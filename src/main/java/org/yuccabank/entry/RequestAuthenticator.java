package org.yuccabank.entry;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.Optional;
import org.yuccabank.model.AccountId;
import org.yuccabank.security.Authenticator;
import org.yuccabank.security.Principal;
import org.yuccabank.security.Secret;

/** Authenticates the sender of an HTTP request. Implementations are thread-safe. */
@FunctionalInterface
public interface RequestAuthenticator {

    /** Header that names the account when security is off. */
    String ACCOUNT_HEADER = "Yuccabank-Account";

    /** Scheme prefix of the {@code Authorization} header value. */
    String BEARER_PREFIX = "Bearer ";

    /**
     * Authenticates the sender of a request.
     *
     * @param headers headers of the request
     * @return the caller, or empty if the credentials are missing or invalid
     */
    Optional<Principal> authenticate(HttpHeaders headers);

    /**
     * Returns an authenticator that verifies the bearer token in the {@code Authorization} header.
     *
     * @param authenticator verifies the token
     * @return the authenticator
     */
    static RequestAuthenticator bearerToken(Authenticator authenticator) {
        return headers -> {
            String value = headers.get(HttpHeaderNames.AUTHORIZATION, "");
            if (!value.regionMatches(true, 0, BEARER_PREFIX, 0, BEARER_PREFIX.length())) {
                return Optional.empty();
            }
            return authenticator.authenticate(
                    Secret.of(value.substring(BEARER_PREFIX.length()).trim()));
        };
    }

    /**
     * Returns an authenticator that trusts the {@value #ACCOUNT_HEADER} header and treats every
     * caller as an operator. For use on the loopback interface only.
     *
     * @return the authenticator
     */
    static RequestAuthenticator trustingAccountHeader() {
        return headers -> {
            String account = headers.get(ACCOUNT_HEADER, "anonymous");
            return Optional.of(new Principal(AccountId.of(account), true));
        };
    }
}
