package org.yuccabank.entry;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.Optional;
import org.yuccabank.model.AccountId;

/** Tells who sent a request. Implementations are safe for use by several threads. */
@FunctionalInterface
public interface CallerIdentification {

    /** Names the account while security is off. */
    String ACCOUNT_HEADER = "Yuccabank-Account";

    /**
     * Identifies the sender of a request.
     *
     * @param headers headers of the request
     * @return the caller, empty if the credentials are missing or wrong
     */
    Optional<Caller> identify(HttpHeaders headers);

    /**
     * Trusts the {@value #ACCOUNT_HEADER} header and lets everybody operate; for loopback only.
     *
     * @return the identification without credentials
     */
    static CallerIdentification off() {
        return headers -> {
            String account = headers.get(ACCOUNT_HEADER, "anonymous");
            return Optional.of(new Caller(AccountId.of(account), true));
        };
    }
}
