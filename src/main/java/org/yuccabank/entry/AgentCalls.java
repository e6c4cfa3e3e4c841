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

/** Calls to agents and what their answers mean for routing. Has no state. */
final class AgentCalls {

    /** Callers get late answers too, so an attempt is awaited longer than any usual deadline. */
    static final Duration RESPONSE_TIMEOUT = Duration.ofSeconds(30);

    private static final Duration QUERY_TIMEOUT = Duration.ofSeconds(1);
    private static final int FIRST_SERVER_ERROR_STATUS = 500;

    private AgentCalls() {}

    /**
     * How an attempt ended.
     *
     * @param response what routing learns
     * @param result the agent's answer, the default instance if there was none
     * @param error why there was no answer, empty otherwise
     */
    record Attempt(Response response, InvokeResult result, String error) {

        boolean ran() {
            return result.getOutcome() == OutcomeKind.RAN;
        }
    }

    /**
     * Sends a request to the agent of a target.
     *
     * @param location where the target is
     * @param invoke the request
     * @return how the attempt ended; never an error
     */
    static Mono<Attempt> invoke(EntryDirectory.Location location, Invoke invoke) {
        return location.agent()
                .request(Envelope.newBuilder().setInvoke(invoke).build(), RESPONSE_TIMEOUT)
                .map(answer -> toAttempt(answer.getInvokeResult()))
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
        Response.Kind kind =
                error.isInDoubt() ? Response.Kind.NO_RESPONSE : Response.Kind.UNREACHABLE;
        return new Attempt(
                Response.without(kind), InvokeResult.getDefaultInstance(), error.getMessage());
    }

    /**
     * Asks an agent what became of a claimed request. An agent that has not seen the request
     * refuses it from then on.
     *
     * @param agent connection to the agent
     * @param query the request's identifier
     * @return the answer; empty if the agent gave none
     */
    static Mono<OutcomeAnswer> queryOutcome(
            org.yuccabank.protocol.PeerClient agent, OutcomeQuery query) {
        return agent.request(Envelope.newBuilder().setOutcomeQuery(query).build(), QUERY_TIMEOUT)
                .filter(Envelope::hasOutcomeAnswer)
                .map(Envelope::getOutcomeAnswer)
                .onErrorResume(PeerException.class, error -> Mono.empty());
    }
}
