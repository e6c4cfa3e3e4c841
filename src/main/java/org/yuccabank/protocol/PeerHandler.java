package org.yuccabank.protocol;

import org.yuccabank.protocol.generated.Envelope;
import reactor.core.publisher.Mono;

/** Handles requests of other processes. Called on an event loop, so it must not block. */
@FunctionalInterface
public interface PeerHandler {

    /**
     * Handles one request.
     *
     * @param from connection on which the request arrived
     * @param request the request
     * @return the reply; empty if the message needs none
     */
    Mono<Envelope> handle(PeerConnection from, Envelope request);

    /**
     * Returns a handler that sends no replies, for processes that only send requests.
     *
     * @return the handler
     */
    static PeerHandler none() {
        return (from, request) -> Mono.empty();
    }
}
