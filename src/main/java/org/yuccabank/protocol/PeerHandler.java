package org.yuccabank.protocol;

import org.yuccabank.protocol.generated.Envelope;
import reactor.core.publisher.Mono;

/** Answers requests of other processes. Called on a network thread, so it must not block. */
@FunctionalInterface
public interface PeerHandler {

    /**
     * Handles one request.
     *
     * @param from connection on which the request came
     * @param request the request
     * @return the reply; empty if the message needs none
     */
    Mono<Envelope> handle(PeerConnection from, Envelope request);

    /**
     * A handler that answers nothing, for processes that only send requests.
     *
     * @return the handler
     */
    static PeerHandler none() {
        return (from, request) -> Mono.empty();
    }
}
