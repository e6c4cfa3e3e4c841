package org.yuccabank.entry;

import java.time.Duration;
import org.yuccabank.policy.routing.Response;
import org.yuccabank.protocol.PeerException;
import org.yuccabank.protocol.generated.Envelope;
import org.yuccabank.protocol.generated.Invoke;
import org.yuccabank.protocol.generated.InvokeResult;
import org.yuccabank.protocol.generated.OutcomeAnswer;
import org.yuccabank.protocol.generated.OutcomeKind;
import org.yuccabank.protocol.generated.OutcomeQuery;
import reactor.core.publisher.Mono;

/** Calls agents and maps their responses to routing results. Stateless. */
final class AgentCalls {

    /** Exceeds the usual request deadlines because late responses are still returned to callers. */
    static final Duration RESPONSE_TIMEOUT = Duration.ofSeconds(30);

    private static final Duration QUERY_TIMEOUT = Duration.ofSeconds(1);
    private static final int FIRST_SERVER_ERROR_STATUS = 500;

    private AgentCalls() {}

    /**
     * The result of an attempt to run a request on a target.
     *
     * @param response the response as reported to the router
     * @param result the agent's result, or the default instance if there was no response
     * @param error the agent's reason or the connection error; empty if there is none
     */
    record Attempt(Response response, InvokeResult result, String error) {

        boolean ran() {
            return result.getOutcome() == OutcomeKind.RAN;
        }
    }

    /**
     * Sends a request to the agent of a target.
     *
     * @param location location of the target
     * @param invoke the request
     * @return the result of the attempt; connection errors are part of it and never signalled
     */
    static Mono<Attempt> invoke(EntryDirectory.Location location, Invoke invoke) {
        return location.agent()
                .request(Envelope.newBuilder().setInvoke(invoke).build(), RESPONSE_TIMEOUT)
                .map(reply -> toAttempt(reply.getInvokeResult()))
                .onErrorResume(PeerException.class, error -> Mono.just(toFailedAttempt(error)));
    }

    private static Attempt toAttempt(InvokeResult result) {
        Response response =
                switch (result.getOutcome()) {
                    case RAN ->
                            result.getStatus() >= FIRST_SERVER_ERROR_STATUS
                                    ? new Response(Response.Kind.FAILED, result.getSlotsUsed(), 0)
                                    : Response.ran(
                                            result.getSlotsUsed(), result.getServiceTimeMicros());
                    case NOT_RUN -> Response.refused(result.getSlotsUsed());
                    default -> Response.without(Response.Kind.NO_RESPONSE);
                };
        return new Attempt(response, result, result.getReason());
    }

    private static Attempt toFailedAttempt(PeerException error) {
        Response.Kind responseKind =
                error.isInDoubt() ? Response.Kind.NO_RESPONSE : Response.Kind.UNREACHABLE;
        return new Attempt(
                Response.without(responseKind),
                InvokeResult.getDefaultInstance(),
                error.getMessage());
    }

    /**
     * Queries an agent for the outcome of a claimed request. An agent that has not received the
     * request rejects it from then on.
     *
     * @param agent client connected to the agent
     * @param query the query, which identifies the request
     * @return the outcome, or empty if the agent did not respond
     */
    static Mono<OutcomeAnswer> queryOutcome(
            org.yuccabank.protocol.PeerClient agent, OutcomeQuery query) {
        return agent.request(Envelope.newBuilder().setOutcomeQuery(query).build(), QUERY_TIMEOUT)
                .filter(Envelope::hasOutcomeAnswer)
                .map(Envelope::getOutcomeAnswer)
                .onErrorResume(PeerException.class, error -> Mono.empty());
    }
}
