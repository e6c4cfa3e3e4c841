package org.yuccabank.standin;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.ThreadLocalRandom;
import org.reactivestreams.Publisher;
import reactor.core.Disposable;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.DisposableServer;
import reactor.netty.http.client.HttpClient;
import reactor.netty.http.server.HttpServer;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;
import reactor.netty.http.server.HttpServerRoutes;

/** HTTP server with the worker interface of the platform, for examples and tests. Thread-safe. */
public final class StandInServer {

    private static final Duration ANNOUNCEMENT_INTERVAL = Duration.ofSeconds(3);
    private static final Duration ADVANCE_INTERVAL = Duration.ofMillis(50);
    private static final Duration ANNOUNCEMENT_TIMEOUT = Duration.ofSeconds(2);
    private static final long MAXIMUM_REORDER_DELAY_MILLIS = 200;
    private static final Duration FREEZE_POLL_INTERVAL = Duration.ofMillis(50);

    private final StandInConfiguration configuration;
    private final StandInWorker worker;
    private final StandInServiceInstance instance;
    private final ObjectMapper json =
            new ObjectMapper().configure(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES, false);
    private final DisposableServer server;
    private final Disposable announcementTask;
    private final Disposable advanceTask;

    private StandInServer(StandInConfiguration configuration, CheckpointStore checkpoints) {
        this.configuration = configuration;
        this.worker = StandInWorker.of(configuration, checkpoints);
        this.instance = new StandInServiceInstance(configuration, worker, json);
        this.server =
                HttpServer.create()
                        .bindAddress(configuration::listenAddress)
                        .idleTimeout(Duration.ofMinutes(10))
                        .route(this::addRoutes)
                        .bindNow();
        this.advanceTask =
                Flux.interval(ADVANCE_INTERVAL)
                        .filter(tick -> !worker.behaviour().frozen())
                        .onBackpressureDrop()
                        .subscribe(tick -> worker.advance(System.currentTimeMillis()));
        this.announcementTask =
                Flux.interval(Duration.ZERO, ANNOUNCEMENT_INTERVAL)
                        .onBackpressureDrop()
                        .filter(tick -> !worker.behaviour().frozen())
                        .concatMap(tick -> announce())
                        .subscribe();
    }

    /**
     * Starts a worker and announces its service instance periodically.
     *
     * @param configuration configuration of the worker
     * @param checkpoints checkpoint store, shared by the workers of a process
     * @return the running server
     */
    public static StandInServer start(
            StandInConfiguration configuration, CheckpointStore checkpoints) {
        Objects.requireNonNull(configuration, "configuration is null");
        return new StandInServer(configuration, checkpoints);
    }

    /** Withdraws the announcement of the service instance, which continues to serve requests. */
    public void withdraw() {
        announcementTask.dispose();
        configuration
                .announcementAddress()
                .ifPresent(
                        address ->
                                HttpClient.create()
                                        .remoteAddress(() -> address)
                                        .delete()
                                        .uri("/v1/announcement")
                                        .response()
                                        .then()
                                        .timeout(ANNOUNCEMENT_TIMEOUT)
                                        .onErrorComplete()
                                        .block());
    }

    /** Stops the server and the progress of its tasks. */
    public void stop() {
        announcementTask.dispose();
        advanceTask.dispose();
        server.disposeNow();
    }

    /** Returns the worker behind the interface. */
    public StandInWorker worker() {
        return worker;
    }

    /** Returns the address of the worker interface with the bound port. */
    public InetSocketAddress address() {
        return (InetSocketAddress) server.address();
    }

    private Mono<Void> announce() {
        if (configuration.announcementAddress().isEmpty()) {
            return Mono.empty();
        }
        InetSocketAddress address = configuration.announcementAddress().get();
        Map<String, Object> body = new LinkedHashMap<>();
        body.put("target", configuration.targetId());
        body.put("service", configuration.service());
        body.put("kinds", configuration.kinds());
        body.put("slots", configuration.slots());
        body.put("connections", configuration.connections());
        return HttpClient.create()
                .remoteAddress(() -> address)
                .put()
                .uri("/v1/announcement")
                .send(reactor.netty.ByteBufFlux.fromString(Mono.just(write(body))))
                .response()
                .then()
                .timeout(ANNOUNCEMENT_TIMEOUT)
                .onErrorComplete();
    }

    private void addRoutes(HttpServerRoutes routes) {
        routes.get(
                        "/v1/worker",
                        (request, response) -> replyWithState(response, () -> worker.state(now())))
                .get("/v1/usage", (request, response) -> replyWithState(response, worker::usage))
                .get(
                        "/v1/records",
                        (request, response) -> sendJson(response, 200, worker.records().all()))
                .put("/v1/behaviour", this::setBehaviour)
                .put("/v1/tasks/{id}", this::start)
                .post("/v1/tasks/{id}/{action}", this::changeTask)
                .post("/v1/serve/{kind}", this::serve);
    }

    private Publisher<Void> setBehaviour(HttpServerRequest request, HttpServerResponse response) {
        return body(request)
                .flatMap(
                        text -> {
                            worker.setBehaviour(read(text, Behaviour.class));
                            return Mono.from(sendJson(response, 200, worker.behaviour()));
                        });
    }

    private Publisher<Void> start(HttpServerRequest request, HttpServerResponse response) {
        String id = decode(request.param("id"));
        return body(request)
                .flatMap(
                        text ->
                                Mono.from(
                                        replyToTaskCall(
                                                response,
                                                () ->
                                                        worker.start(
                                                                id,
                                                                read(text, StartTaskRequest.class),
                                                                now()))));
    }

    private Publisher<Void> changeTask(HttpServerRequest request, HttpServerResponse response) {
        String id = decode(request.param("id"));
        String action = request.param("action");
        return body(request)
                .flatMap(
                        text ->
                                Mono.from(
                                        replyToTaskCall(
                                                response,
                                                () ->
                                                        changeTask(
                                                                id,
                                                                action,
                                                                read(
                                                                        text,
                                                                        TaskActionRequest
                                                                                .class)))));
    }

    private TaskReply changeTask(String id, String action, TaskActionRequest taskRequest) {
        return switch (action) {
            case "lease" -> worker.renew(id, taskRequest, now());
            case "checkpoint" -> worker.checkpoint(id, taskRequest, now());
            case "throttle" -> worker.throttle(id, taskRequest, now());
            case "stop" -> worker.stop(id, taskRequest, now());
            default -> TaskReply.rejected("unknown action " + action);
        };
    }

    private Publisher<Void> serve(HttpServerRequest request, HttpServerResponse response) {
        String kind = decode(request.param("kind"));
        List<String> keys =
                new QueryStringDecoder(request.uri()).parameters().getOrDefault("key", List.of(""));
        return whenNotFrozen()
                .then(body(request))
                .flatMap(text -> instance.serve(kind, keys.get(0), text))
                .flatMap(reply -> withDelay(reply))
                .map(reply -> List.of("200", reply))
                .defaultIfEmpty(List.of("503", "{\"reason\":\"no connection is free\"}"))
                .flatMap(
                        reply ->
                                response.status(Integer.parseInt(reply.get(0)))
                                        .header("content-type", "application/json")
                                        .sendString(Mono.just(reply.get(1)))
                                        .then());
    }

    private Publisher<Void> replyToTaskCall(
            HttpServerResponse response, java.util.function.Supplier<TaskReply> call) {
        return whenNotFrozen()
                .then(Mono.fromSupplier(call))
                .flatMap(this::withDelay)
                .flatMap(
                        reply ->
                                Mono.from(sendJson(response, reply.accepted() ? 200 : 409, reply)));
    }

    private Publisher<Void> replyWithState(
            HttpServerResponse response, java.util.function.Supplier<Object> value) {
        return whenNotFrozen()
                .then(Mono.fromSupplier(value))
                .flatMap(this::withDelay)
                .flatMap(state -> Mono.from(sendJson(response, 200, state)));
    }

    private Mono<Void> whenNotFrozen() {
        return Mono.defer(
                () ->
                        worker.behaviour().frozen()
                                ? Mono.delay(FREEZE_POLL_INTERVAL).then(whenNotFrozen())
                                : Mono.empty());
    }

    private <T> Mono<T> withDelay(T value) {
        Behaviour behaviour = worker.behaviour();
        long reorderDelayMillis =
                behaviour.reordered()
                        ? ThreadLocalRandom.current().nextLong(MAXIMUM_REORDER_DELAY_MILLIS)
                        : 0;
        long millis = behaviour.delayMillis() + reorderDelayMillis;
        return millis == 0
                ? Mono.just(value)
                : Mono.just(value).delayElement(Duration.ofMillis(millis));
    }

    private Publisher<Void> sendJson(HttpServerResponse response, int status, Object value) {
        return response.status(status)
                .header("content-type", "application/json")
                .sendString(Mono.just(write(value)));
    }

    private static Mono<String> body(HttpServerRequest request) {
        return request.receive().aggregate().asString().defaultIfEmpty("");
    }

    private <T> T read(String text, Class<T> type) {
        try {
            return json.readValue(text, type);
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        }
    }

    private String write(Object value) {
        try {
            return json.writeValueAsString(value);
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        }
    }

    private static String decode(String text) {
        return URLDecoder.decode(text, StandardCharsets.UTF_8);
    }

    private static long now() {
        return System.currentTimeMillis();
    }
}
