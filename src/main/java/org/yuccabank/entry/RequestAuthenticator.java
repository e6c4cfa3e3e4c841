package org.yuccabank.entry;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.Optional;
import org.yuccabank.model.AccountId;
import org.yuccabank.security.Authenticator;
import org.yuccabank.security.Principal;
import org.yuccabank.security.Secret;

/** Tells who sent a request. Implementations are safe for use by several threads. */
@FunctionalInterface
public interface RequestAuthenticator {

    /** Names the account while security is off. */
    String ACCOUNT_HEADER = "Yuccabank-Account";

    /** Begins the value of the {@code Authorization} header. */
    String BEARER_PREFIX = "Bearer ";

    /**
     * Identifies the sender of a request.
     *
     * @param headers headers of the request
     * @return the caller, empty if the credentials are missing or wrong
     */
    Optional<Principal> authenticate(HttpHeaders headers);

    /**
     * Takes the bearer token of the {@code Authorization} header.
     *
     * @param authenticator knows the tokens
     * @return the identification by token
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
     * Trusts the {@value #ACCOUNT_HEADER} header and lets everybody operate; for loopback only.
     *
     * @return the identification without credentials
     */
    static RequestAuthenticator trustingAccountHeader() {
        return headers -> {
            String account = headers.get(ACCOUNT_HEADER, "anonymous");
            return Optional.of(new Principal(AccountId.of(account), true));
        };
    }
}
