package org.yuccabank.entry;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.protobuf.ByteString;
import java.util.Optional;
import java.util.UUID;
import org.yuccabank.http.Problem;
import org.yuccabank.model.Outcome;
import org.yuccabank.protocol.PeerException;
import org.yuccabank.protocol.generated.ApplyRules;
import org.yuccabank.protocol.generated.CancelJob;
import org.yuccabank.protocol.generated.ClaimOutcome;
import org.yuccabank.protocol.generated.CommandRequest;
import org.yuccabank.protocol.generated.CommandResult;
import org.yuccabank.protocol.generated.CommandResult.Verdict;
import org.yuccabank.protocol.generated.DrainHost;
import org.yuccabank.protocol.generated.OutcomeKind;
import org.yuccabank.protocol.generated.Query;
import org.yuccabank.protocol.generated.ResourceVector;
import org.yuccabank.protocol.generated.SubmitJob;
import org.yuccabank.result.Findings;
import org.yuccabank.rules.RulesParser;
import org.yuccabank.security.Principal;
import reactor.core.publisher.Mono;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

/** Forwards HTTP requests about jobs, rules and operations to the leader. Thread-safe. */
final class CommandRoutes {

    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final int OK = 200;
    private static final int CREATED = 201;
    private static final int ACCEPTED = 202;
    private static final int BAD_REQUEST = 400;
    private static final int PRECONDITION_REQUIRED = 428;
    private static final int UNAVAILABLE = 503;
    private static final long RETRY_AFTER_MILLIS = 1_000;
    private static final String KEY_HEADER = "Idempotency-Key";

    private final ControlClient controlClient;

    CommandRoutes(ControlClient controlClient) {
        this.controlClient = controlClient;
    }

    Mono<Void> submitJob(
            HttpServerRequest request,
            HttpServerResponse response,
            Principal caller,
            ByteString body) {
        SubmitJob job;
        try {
            JsonNode node = MAPPER.readTree(body.toStringUtf8());
            if (node == null || !node.isObject()) {
                return badRequest(request, response, "the body must be a JSON object");
            }
            job = parseJob(node);
        } catch (JsonProcessingException exception) {
            return badRequest(request, response, exception.getOriginalMessage());
        }
        Optional<String> error = JobValidator.firstError(job);
        if (error.isPresent()) {
            return badRequest(request, response, error.get());
        }
        CommandRequest command = newCommand(request, caller).setSubmitJob(job).build();
        return execute(
                request,
                response,
                command,
                result ->
                        HttpResponses.writeJson(
                                response.header("Location", "/v1/jobs/" + result.getIdentifier()),
                                CREATED,
                                MAPPER.createObjectNode()
                                        .put("job", result.getIdentifier())
                                        .toString()));
    }

    private static SubmitJob parseJob(JsonNode node) {
        JsonNode resources = node.path("resources");
        return SubmitJob.newBuilder()
                .setKind(node.path("kind").asText(""))
                .setTaskCount(node.path("tasks").asInt(1))
                .setDeclared(
                        ResourceVector.newBuilder()
                                .setProcessorMillis(resources.path("processorMillis").asLong())
                                .setMemoryMebibytes(resources.path("memoryMebibytes").asLong())
                                .setAccelerators(resources.path("accelerators").asInt()))
                .setDeclaredRunMillis(node.path("runMillis").asLong())
                .setPriority(node.path("priority").asInt(1))
                .setCheckpointable(node.path("checkpointable").asBoolean())
                .build();
    }

    Mono<Void> cancelJob(HttpServerRequest request, HttpServerResponse response, Principal caller) {
        CommandRequest command =
                newCommand(request, caller)
                        .setCancelJob(CancelJob.newBuilder().setJobId(request.param("id")))
                        .build();
        return execute(
                request,
                response,
                command,
                result -> HttpResponses.writeJson(response, ACCEPTED, "{}"));
    }

    Mono<Void> applyRules(
            HttpServerRequest request,
            HttpServerResponse response,
            Principal caller,
            ByteString body) {
        String expected = request.requestHeaders().get("If-Match", "").replace("\"", "").trim();
        if (!expected.matches("\\d{1,18}")) {
            return HttpResponses.writeProblem(
                    request,
                    response,
                    Problem.of(
                            PRECONDITION_REQUIRED,
                            "version is missing",
                            "send If-Match with the version that the rules were based on, such as"
                                    + " If-Match: \"3\""));
        }
        String text = body.toStringUtf8();
        Findings findings = RulesParser.parse(text, "rules").findings();
        if (!findings.isEmpty()) {
            return HttpResponses.writeProblem(
                    request,
                    response,
                    Problem.of(BAD_REQUEST, "rules are invalid", "nothing was changed")
                            .withFindings(findings.all().stream().map(Object::toString).toList()));
        }
        ApplyRules rules =
                ApplyRules.newBuilder()
                        .setExpectedVersion(Long.parseLong(expected))
                        .setText(text)
                        .setAuthor(caller.account().value())
                        .build();
        return execute(
                request,
                response,
                newCommand(request, caller).setApplyRules(rules).build(),
                result -> {
                    response.header("ETag", "\"" + result.getVersion() + "\"");
                    String json =
                            MAPPER.createObjectNode()
                                    .put("version", result.getVersion())
                                    .toString();
                    return HttpResponses.writeJson(response, OK, json);
                });
    }

    Mono<Void> drain(
            HttpServerRequest request,
            HttpServerResponse response,
            Principal caller,
            boolean undo) {
        DrainHost drain =
                DrainHost.newBuilder().setHostId(request.param("host")).setUndo(undo).build();
        CommandRequest command = newCommand(request, caller).setDrainHost(drain).build();
        return execute(
                request,
                response,
                command,
                result -> HttpResponses.writeJson(response, ACCEPTED, "{}"));
    }

    Mono<Void> query(
            HttpServerRequest request,
            HttpServerResponse response,
            Principal caller,
            Query.Builder query) {
        CommandRequest command =
                newCommand(request, caller).clearCommandId().setQuery(query).build();
        return execute(
                request,
                response,
                command,
                result -> {
                    if (query.getSubject() == Query.Subject.RULES) {
                        response.header("ETag", "\"" + result.getVersion() + "\"");
                    }
                    return HttpResponses.writeJson(response, OK, result.getJson());
                });
    }

    /**
     * Responds with the outcome of an at-most-once request. If the request ran, the stored response
     * is returned in full.
     */
    Mono<Void> outcome(HttpServerRequest request, HttpServerResponse response, Principal caller) {
        Query.Builder query =
                Query.newBuilder()
                        .setSubject(Query.Subject.REQUEST)
                        .setIdentifier(request.param("key"));
        CommandRequest command =
                newCommand(request, caller).clearCommandId().setQuery(query).build();
        return execute(
                request,
                response,
                command,
                result -> outcome(request, response, result.getClaimOutcome()));
    }

    private static Mono<Void> outcome(
            HttpServerRequest request, HttpServerResponse response, ClaimOutcome outcome) {
        if (outcome.getOutcome() == OutcomeKind.RAN) {
            return HttpResponses.writeServiceReply(
                    request, response, AtMostOnceDispatcher.storedReply(outcome), false);
        }
        Outcome knownOutcome =
                switch (outcome.getOutcome()) {
                    case NOT_RUN -> Outcome.NOT_RUN;
                    case IN_PROGRESS -> Outcome.IN_PROGRESS;
                    default -> Outcome.UNKNOWN;
                };
        ObjectNode node =
                MAPPER.createObjectNode()
                        .put("key", outcome.getKey())
                        .put("outcome", knownOutcome.label());
        response.header(HttpResponses.OUTCOME_HEADER, knownOutcome.label());
        return HttpResponses.writeJson(response, OK, node.toString());
    }

    private static CommandRequest.Builder newCommand(HttpServerRequest request, Principal caller) {
        String key = request.requestHeaders().get(KEY_HEADER, UUID.randomUUID().toString());
        return CommandRequest.newBuilder()
                .setCommandId(caller.account() + "/" + key)
                .setAccount(caller.account().value())
                .setOperator(caller.operator());
    }

    private Mono<Void> execute(
            HttpServerRequest request,
            HttpServerResponse response,
            CommandRequest command,
            java.util.function.Function<CommandResult, Mono<Void>> onAccepted) {
        return controlClient
                .sendCommand(command)
                .onErrorResume(PeerException.class, error -> Mono.just(failedResult(error)))
                .flatMap(
                        result ->
                                result.getVerdict() == Verdict.ACCEPTED
                                        ? onAccepted.apply(result)
                                        : HttpResponses.writeProblem(
                                                request,
                                                response,
                                                HttpResponses.toProblem(result)));
    }

    private static CommandResult failedResult(PeerException error) {
        return CommandResult.newBuilder()
                .setVerdict(error.isInDoubt() ? Verdict.UNAVAILABLE : Verdict.NOT_LEADER)
                .setMessage(error.getMessage())
                .build();
    }

    static Mono<Void> badRequest(
            HttpServerRequest request, HttpServerResponse response, String detail) {
        Problem problem =
                Problem.of(BAD_REQUEST, "request is invalid", detail).withOutcome(Outcome.NOT_RUN);
        return HttpResponses.writeProblem(request, response, problem);
    }

    static Mono<Void> unavailable(
            HttpServerRequest request, HttpServerResponse response, String detail) {
        Problem problem =
                Problem.of(UNAVAILABLE, "not admitting requests", detail)
                        .withOutcome(Outcome.NOT_RUN)
                        .withRetryAfter(RETRY_AFTER_MILLIS);
        return HttpResponses.writeProblem(request, response, problem);
    }
}
