package org.yuccabank.entry;

import com.google.protobuf.ByteString;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpHeaderNames;
import org.yuccabank.http.Problem;
import org.yuccabank.model.Outcome;
import org.yuccabank.protocol.generated.CommandResult;
import reactor.core.publisher.Mono;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

/** Writes HTTP responses to callers and operators. Stateless. */
final class HttpResponses {

    static final String OUTCOME_HEADER = "Yuccabank-Outcome";
    static final String LATE_HEADER = "Yuccabank-Late";
    static final String TARGET_HEADER = "Yuccabank-Target";
    static final String JSON = "application/json";

    private static final int ACCEPTED = 202;
    private static final int BAD_REQUEST = 400;
    private static final int FORBIDDEN = 403;
    private static final int NOT_FOUND = 404;
    private static final int CONFLICT = 409;
    private static final int UNAVAILABLE = 503;
    private static final int GATEWAY_TIMEOUT = 504;
    private static final long RETRY_AFTER_MILLIS = 1_000;

    private HttpResponses() {}

    static Mono<Void> writeProblem(
            HttpServerRequest request, HttpServerResponse response, Problem problem) {
        response.status(problem.status()).header(HttpHeaderNames.CONTENT_TYPE, Problem.MEDIA_TYPE);
        problem.retryAfterSeconds()
                .ifPresent(seconds -> response.header(HttpHeaderNames.RETRY_AFTER, seconds));
        problem.outcome().ifPresent(outcome -> response.header(OUTCOME_HEADER, outcome.label()));
        return response.sendString(Mono.just(problem.toJson(request.fullPath()))).then();
    }

    static Mono<Void> writeJson(HttpServerResponse response, int status, String json) {
        return response.status(status)
                .header(HttpHeaderNames.CONTENT_TYPE, JSON)
                .sendString(Mono.just(json))
                .then();
    }

    /** Writes the outcome of a service request. */
    static Mono<Void> writeServiceReply(
            HttpServerRequest request,
            HttpServerResponse response,
            ServiceReply reply,
            boolean late) {
        if (late) {
            response.header(LATE_HEADER, "true");
        }
        if (reply instanceof ServiceReply.Ran ran) {
            return writeRan(response, ran);
        }
        return writeProblem(request, response, toProblem(reply));
    }

    private static Mono<Void> writeRan(HttpServerResponse response, ServiceReply.Ran ran) {
        response.status(ran.status()).header(OUTCOME_HEADER, Outcome.RAN.label());
        if (!ran.contentType().isEmpty()) {
            response.header(HttpHeaderNames.CONTENT_TYPE, ran.contentType());
        }
        if (!ran.target().isEmpty()) {
            response.header(TARGET_HEADER, ran.target());
        }
        return writeBody(response, ran.body());
    }

    private static Mono<Void> writeBody(HttpServerResponse response, ByteString body) {
        return response.header(HttpHeaderNames.CONTENT_LENGTH, Integer.toString(body.size()))
                .sendObject(Mono.just(Unpooled.wrappedBuffer(body.asReadOnlyByteBuffer())))
                .then();
    }

    private static Problem toProblem(ServiceReply reply) {
        if (reply instanceof ServiceReply.NotRun notRun) {
            return Problem.of(UNAVAILABLE, "request was not run", notRun.reason())
                    .withOutcome(Outcome.NOT_RUN)
                    .withRetryAfter(notRun.retryAfterMillis());
        }
        if (reply instanceof ServiceReply.Unknown unknown) {
            return Problem.of(GATEWAY_TIMEOUT, "outcome unknown", unknown.reason())
                    .withOutcome(Outcome.UNKNOWN);
        }
        if (reply instanceof ServiceReply.Conflict conflict) {
            return Problem.of(CONFLICT, "request conflicts with an earlier one", conflict.reason())
                    .withOutcome(Outcome.NOT_RUN);
        }
        return Problem.of(
                        ACCEPTED, "request is in progress", "ask again with GET /v1/requests/{key}")
                .withOutcome(Outcome.IN_PROGRESS)
                .withRetryAfter(RETRY_AFTER_MILLIS);
    }

    /** Returns the problem that describes a command that was not accepted. */
    static Problem toProblem(CommandResult result) {
        String message = result.getMessage();
        return switch (result.getVerdict()) {
            case REJECTED ->
                    Problem.of(BAD_REQUEST, "request was refused", message)
                            .withFindings(message.lines().toList());
            case CONFLICT -> Problem.of(CONFLICT, "conflict", message);
            case NOT_FOUND -> Problem.of(NOT_FOUND, "not found", message);
            case FORBIDDEN -> Problem.of(FORBIDDEN, "forbidden", message);
            case NOT_LEADER ->
                    Problem.of(UNAVAILABLE, "control has no leader", message)
                            .withOutcome(Outcome.NOT_RUN)
                            .withRetryAfter(RETRY_AFTER_MILLIS);
            default ->
                    Problem.of(GATEWAY_TIMEOUT, "outcome unknown", message)
                            .withOutcome(Outcome.UNKNOWN)
                            .withRetryAfter(RETRY_AFTER_MILLIS);
        };
    }
}
