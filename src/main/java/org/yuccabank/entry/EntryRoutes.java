package org.yuccabank.entry;

import com.codahale.metrics.Meter;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Timer;
import com.google.protobuf.ByteString;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BiFunction;
import org.yuccabank.event.Event;
import org.yuccabank.event.EventLog;
import org.yuccabank.http.Problem;
import org.yuccabank.model.Outcome;
import org.yuccabank.model.WorkKind;
import org.yuccabank.policy.routing.Deadline;
import org.yuccabank.protocol.generated.Query;
import org.yuccabank.rules.RuleSet;
import org.yuccabank.security.Principal;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Scheduler;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;
import reactor.netty.http.server.HttpServerRoutes;

/** The HTTP API for callers and operators, documented in {@code docs/http.md}. Thread-safe. */
final class EntryRoutes {

    private static final String KEY_HEADER = "Idempotency-Key";
    private static final String DEADLINE_HEADER = "Yuccabank-Deadline-Ms";
    private static final String AT_MOST_ONCE_HEADER = "Yuccabank-At-Most-Once";
    private static final int MAXIMUM_KEY_LENGTH = 200;
    private static final int MAXIMUM_BODY_BYTES = 4 << 20;
    private static final long DEFAULT_DEADLINE_MILLIS = 10_000;
    private static final int DEFAULT_PRIORITY = 5;
    private static final int UNAUTHORIZED = 401;
    private static final int PAYLOAD_TOO_LARGE = 413;
    private static final int INTERNAL_ERROR = 500;

    private final EntryConfiguration configuration;
    private final Dispatchers dispatchers;
    private final RequestAuthenticator authenticator;
    private final EntryDirectory directory;
    private final ControlClient controlClient;
    private final Scheduler decisionScheduler;
    private final AtomicInteger inProgress = new AtomicInteger();
    private final Timer servedTimer;
    private final Meter lateMeter;
    private final Meter refusedMeter;
    private final Meter unknownMeter;
    private volatile boolean draining;

    /**
     * Dispatchers by type of request.
     *
     * @param idempotent serves idempotent requests
     * @param atMostOnce serves at-most-once requests
     * @param commands serves job, rules and operator requests
     */
    record Dispatchers(
            IdempotentDispatcher idempotent,
            AtMostOnceDispatcher atMostOnce,
            CommandRoutes commands) {}

    EntryRoutes(
            EntryConfiguration configuration,
            Dispatchers dispatchers,
            RequestAuthenticator authenticator,
            EntryDirectory directory,
            ControlClient controlClient,
            Scheduler decisionScheduler,
            MetricRegistry metrics) {
        this.configuration = configuration;
        this.dispatchers = dispatchers;
        this.authenticator = authenticator;
        this.directory = directory;
        this.controlClient = controlClient;
        this.decisionScheduler = decisionScheduler;
        servedTimer = metrics.timer("requests_served");
        lateMeter = metrics.meter("requests_late");
        refusedMeter = metrics.meter("requests_refused");
        unknownMeter = metrics.meter("requests_unknown");
        metrics.gauge("requests_in_progress", () -> inProgress::get);
    }

    /** Handles a request of an authenticated caller. */
    private interface RouteHandler {
        Mono<Void> handle(
                HttpServerRequest request,
                HttpServerResponse response,
                Principal caller,
                ByteString body);
    }

    void register(HttpServerRoutes routes) {
        CommandRoutes commands = dispatchers.commands();
        routes.post("/v1/services/{service}/{kind}", handler(this::serve));
        routes.get(
                "/v1/requests/{key}",
                handler(
                        (request, response, caller, body) ->
                                commands.outcome(request, response, caller)));
        routes.post("/v1/jobs", handler(this::submitJob));
        routes.get("/v1/jobs", query(Query.Subject.JOBS));
        routes.get("/v1/jobs/{id}", jobQuery());
        routes.get("/v1/jobs/{id}/result", jobQuery());
        routes.delete(
                "/v1/jobs/{id}",
                handler(
                        (request, response, caller, body) ->
                                commands.cancelJob(request, response, caller)));
        routes.get("/v1/rules", rulesQuery());
        routes.get("/v1/rules/history", query(Query.Subject.RULES_HISTORY));
        routes.put("/v1/rules", handler(commands::applyRules));
        routes.get("/v1/status", query(Query.Subject.STATUS));
        routes.get("/v1/targets", query(Query.Subject.TARGETS));
        routes.get("/v1/audit", query(Query.Subject.AUDIT));
        routes.post(
                "/v1/hosts/{host}/drain",
                handler(
                        (request, response, caller, body) ->
                                commands.drain(request, response, caller, false)));
        routes.delete(
                "/v1/hosts/{host}/drain",
                handler(
                        (request, response, caller, body) ->
                                commands.drain(request, response, caller, true)));
    }

    private BiFunction<HttpServerRequest, HttpServerResponse, org.reactivestreams.Publisher<Void>>
            query(Query.Subject subject) {
        return handler(
                (request, response, caller, body) ->
                        dispatchers
                                .commands()
                                .query(
                                        request,
                                        response,
                                        caller,
                                        Query.newBuilder().setSubject(subject)));
    }

    private BiFunction<HttpServerRequest, HttpServerResponse, org.reactivestreams.Publisher<Void>>
            jobQuery() {
        return handler(
                (request, response, caller, body) ->
                        dispatchers
                                .commands()
                                .query(
                                        request,
                                        response,
                                        caller,
                                        Query.newBuilder()
                                                .setSubject(Query.Subject.JOB)
                                                .setIdentifier(request.param("id"))));
    }

    private BiFunction<HttpServerRequest, HttpServerResponse, org.reactivestreams.Publisher<Void>>
            rulesQuery() {
        return handler(
                (request, response, caller, body) -> {
                    Query.Builder query = Query.newBuilder().setSubject(Query.Subject.RULES);
                    versionParameter(request).ifPresent(query::setFrom);
                    return dispatchers.commands().query(request, response, caller, query);
                });
    }

    private static Optional<Long> versionParameter(HttpServerRequest request) {
        String uri = request.uri();
        int start = uri.indexOf("?version=");
        if (start < 0) {
            return Optional.empty();
        }
        String value = uri.substring(start + "?version=".length());
        return value.matches("\\d{1,18}") ? Optional.of(Long.parseLong(value)) : Optional.empty();
    }

    private BiFunction<HttpServerRequest, HttpServerResponse, org.reactivestreams.Publisher<Void>>
            handler(RouteHandler handler) {
        return (request, response) -> {
            Optional<Principal> caller = authenticator.authenticate(request.requestHeaders());
            if (caller.isEmpty()) {
                EventLog.warning(Event.CREDENTIAL_REFUSED, "path", request.fullPath());
                response.header("WWW-Authenticate", "Bearer");
                return HttpResponses.writeProblem(
                        request,
                        response,
                        Problem.of(UNAUTHORIZED, "credentials are missing or wrong", "send a token")
                                .withOutcome(Outcome.NOT_RUN));
            }
            if (isTooLarge(request)) {
                return HttpResponses.writeProblem(request, response, tooLargeProblem());
            }
            inProgress.incrementAndGet();
            return readBody(request)
                    .flatMap(body -> handler.handle(request, response, caller.get(), body))
                    .onErrorResume(
                            BodyTooLargeException.class,
                            error ->
                                    HttpResponses.writeProblem(
                                            request, response, tooLargeProblem()))
                    .onErrorResume(error -> internalError(request, response, error))
                    .doFinally(signal -> inProgress.decrementAndGet());
        };
    }

    /** Thrown when a body without a Content-Length header exceeds the size limit. */
    private static final class BodyTooLargeException extends RuntimeException {
        private static final long serialVersionUID = 1L;
    }

    private static boolean isTooLarge(HttpServerRequest request) {
        String length = request.requestHeaders().get(HttpHeaderNames.CONTENT_LENGTH, "0");
        return length.length() > 9 || Long.parseLong(length) > MAXIMUM_BODY_BYTES;
    }

    private static Problem tooLargeProblem() {
        return Problem.of(
                        PAYLOAD_TOO_LARGE,
                        "body is too large",
                        "a body has at most " + MAXIMUM_BODY_BYTES + " bytes")
                .withOutcome(Outcome.NOT_RUN);
    }

    private static Mono<ByteString> readBody(HttpServerRequest request) {
        return request.receive()
                .asByteArray()
                .map(ByteString::copyFrom)
                .reduce(
                        ByteString.EMPTY,
                        (received, part) -> {
                            if (received.size() + part.size() > MAXIMUM_BODY_BYTES) {
                                throw new BodyTooLargeException();
                            }
                            return received.concat(part);
                        });
    }

    private static Mono<Void> internalError(
            HttpServerRequest request, HttpServerResponse response, Throwable error) {
        EventLog.error(Event.INTERNAL_ERROR, error, "path", request.fullPath());
        if (response.hasSentHeaders()) {
            return Mono.empty();
        }
        return HttpResponses.writeProblem(
                request,
                response,
                Problem.of(INTERNAL_ERROR, "internal error", "see the log of the entry")
                        .withOutcome(Outcome.UNKNOWN));
    }

    private Mono<Void> submitJob(
            HttpServerRequest request,
            HttpServerResponse response,
            Principal caller,
            ByteString body) {
        if (draining) {
            return CommandRoutes.unavailable(request, response, "the entry is stopping");
        }
        return dispatchers.commands().submitJob(request, response, caller, body);
    }

    private Mono<Void> serve(
            HttpServerRequest request,
            HttpServerResponse response,
            Principal caller,
            ByteString body) {
        long startNanos = System.nanoTime();
        long nowMillis = System.currentTimeMillis();
        return Mono.fromSupplier(() -> parseServiceRequest(request, caller, body, nowMillis))
                .subscribeOn(decisionScheduler)
                .flatMap(
                        parsed ->
                                parsed.refusal().isPresent()
                                        ? HttpResponses.writeProblem(
                                                request, response, parsed.refusal().get())
                                        : dispatch(
                                                request, response, parsed.request(), startNanos));
    }

    /** A parsed request, or the problem to respond with if the request is refused. */
    private record ParsedRequest(ServiceRequest request, Optional<Problem> refusal) {

        static ParsedRequest refuse(int status, String title, String detail) {
            Problem problem = Problem.of(status, title, detail).withOutcome(Outcome.NOT_RUN);
            return new ParsedRequest(null, Optional.of(problem));
        }

        static ParsedRequest unavailable(String detail) {
            Problem problem =
                    Problem.of(503, "not admitting requests", detail)
                            .withOutcome(Outcome.NOT_RUN)
                            .withRetryAfter(1_000);
            return new ParsedRequest(null, Optional.of(problem));
        }
    }

    private ParsedRequest parseServiceRequest(
            HttpServerRequest request, Principal caller, ByteString body, long nowMillis) {
        HttpHeaders headers = request.requestHeaders();
        WorkKind kind = WorkKind.of(request.param("kind"));
        RuleSet rules = directory.rules();
        boolean atMostOnce =
                rules.atMostOnce().contains(kind)
                        || headers.get(AT_MOST_ONCE_HEADER, "false").equals("true");
        Optional<String> key = Optional.ofNullable(headers.get(KEY_HEADER));
        if (key.map(text -> text.isBlank() || text.length() > MAXIMUM_KEY_LENGTH).orElse(false)) {
            return ParsedRequest.refuse(
                    400,
                    "key is invalid",
                    KEY_HEADER + " has 1 to " + MAXIMUM_KEY_LENGTH + " characters");
        }
        if (atMostOnce && key.isEmpty()) {
            return ParsedRequest.refuse(
                    400,
                    "key is missing",
                    "kind " + kind + " runs at most once; send " + KEY_HEADER);
        }
        String deadlineText = headers.get(DEADLINE_HEADER, "");
        if (!deadlineText.isEmpty() && !deadlineText.matches("[1-9]\\d{0,8}")) {
            return ParsedRequest.refuse(
                    400, "deadline is invalid", DEADLINE_HEADER + " is a number of milliseconds");
        }
        Optional<String> refusalReason = notAdmittingReason(atMostOnce);
        if (refusalReason.isPresent()) {
            return ParsedRequest.unavailable(refusalReason.get());
        }
        Optional<RuleSet.UrgentClass> urgentClass = Optional.ofNullable(rules.urgent().get(kind));
        long budgetMillis =
                deadlineText.isEmpty()
                        ? urgentClass
                                .map(configured -> configured.deadline().toMillis())
                                .orElse(DEFAULT_DEADLINE_MILLIS)
                        : Long.parseLong(deadlineText);
        ServiceRequest serviceRequest =
                new ServiceRequest(
                        key.orElseGet(() -> UUID.randomUUID().toString()),
                        caller.account(),
                        request.param("service"),
                        kind,
                        atMostOnce,
                        urgentClass.map(RuleSet.UrgentClass::priority).orElse(DEFAULT_PRIORITY),
                        Deadline.after(nowMillis, budgetMillis),
                        headers.get(HttpHeaderNames.CONTENT_TYPE, ""),
                        body);
        return new ParsedRequest(serviceRequest, Optional.empty());
    }

    private Optional<String> notAdmittingReason(boolean atMostOnce) {
        if (draining) {
            return Optional.of("the entry is stopping");
        }
        if (!controlClient.hasReceivedDirectory()) {
            return Optional.of("the entry has not confirmed the newest rules with control yet");
        }
        boolean needsControl = atMostOnce || !configuration.serveIdempotentWithoutControl();
        if (needsControl && !controlClient.hasConfigurationLease(ConfigurationLease.Moment.now())) {
            return Optional.of("control cannot be reached");
        }
        return Optional.empty();
    }

    private Mono<Void> dispatch(
            HttpServerRequest request,
            HttpServerResponse response,
            ServiceRequest serviceRequest,
            long startNanos) {
        Mono<ServiceReply> reply =
                serviceRequest.atMostOnce()
                        ? dispatchers.atMostOnce().serve(serviceRequest)
                        : dispatchers.idempotent().serve(serviceRequest);
        return reply.flatMap(
                serviceReply -> {
                    boolean isLate = serviceRequest.deadline().isLate(System.currentTimeMillis());
                    updateMetrics(serviceReply, isLate, startNanos);
                    return HttpResponses.writeServiceReply(request, response, serviceReply, isLate);
                });
    }

    private void updateMetrics(ServiceReply reply, boolean isLate, long startNanos) {
        if (isLate) {
            lateMeter.mark();
        }
        if (reply instanceof ServiceReply.Ran) {
            servedTimer.update(System.nanoTime() - startNanos, TimeUnit.NANOSECONDS);
        } else if (reply instanceof ServiceReply.NotRun) {
            refusedMeter.mark();
        } else {
            unknownMeter.mark();
        }
    }

    void startDrain() {
        draining = true;
    }

    int inProgress() {
        return inProgress.get();
    }

    /** Returns whether load balancers should route requests to this process. */
    boolean isAdmitting() {
        return !draining && controlClient.hasReceivedDirectory();
    }
}
