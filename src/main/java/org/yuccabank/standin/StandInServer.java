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

/** Worker interface of the platform over HTTP, for examples and tests. Thread-safe. */
public final class StandInServer {

    private static final Duration ANNOUNCEMENT_INTERVAL = Duration.ofSeconds(3);
    private static final Duration ADVANCE_INTERVAL = Duration.ofMillis(50);
    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(2);
    private static final long GREATEST_REORDER_MILLIS = 200;
    private static final Duration FREEZE_POLL = Duration.ofMillis(50);

    private final StandInConfiguration configuration;
    private final StandInWorker worker;
    private final StandInInstance instance;
    private final ObjectMapper json =
            new ObjectMapper().configure(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES, false);
    private final DisposableServer server;
    private final Disposable announcing;
    private final Disposable advancing;

    private StandInServer(StandInConfiguration configuration, CheckpointStore checkpoints) {
        this.configuration = configuration;
        this.worker = StandInWorker.of(configuration, checkpoints);
        this.instance = new StandInInstance(configuration, worker, json);
        this.server =
                HttpServer.create()
                        .bindAddress(configuration::listenAddress)
                        .idleTimeout(Duration.ofMinutes(10))
                        .route(this::addRoutes)
                        .bindNow();
        this.advancing =
                Flux.interval(ADVANCE_INTERVAL)
                        .filter(tick -> !worker.behaviour().frozen())
                        .onBackpressureDrop()
                        .subscribe(tick -> worker.advance(System.currentTimeMillis()));
        this.announcing =
                Flux.interval(Duration.ZERO, ANNOUNCEMENT_INTERVAL)
                        .onBackpressureDrop()
                        .filter(tick -> !worker.behaviour().frozen())
                        .concatMap(tick -> announce())
                        .subscribe();
    }

    /**
     * Starts a worker and announces its service instance.
     *
     * @param configuration addresses, capacity and behaviour
     * @param checkpoints store of checkpoints, shared by the workers of a process
     * @return the running worker
     */
    public static StandInServer start(
            StandInConfiguration configuration, CheckpointStore checkpoints) {
        Objects.requireNonNull(configuration, "configuration is null");
        return new StandInServer(configuration, checkpoints);
    }

    /** Withdraws the service instance; requests are still served. */
    public void withdraw() {
        announcing.dispose();
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
                                        .timeout(CALL_TIMEOUT)
                                        .onErrorComplete()
                                        .block());
    }

    /** Ends the worker; its tasks end with it. */
    public void stop() {
        announcing.dispose();
        advancing.dispose();
        server.disposeNow();
    }

    /** The worker behind the interface. */
    public StandInWorker worker() {
        return worker;
    }

    /** Address of the worker interface, with the port in use. */
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
                .timeout(CALL_TIMEOUT)
                .onErrorComplete();
    }

    private void addRoutes(HttpServerRoutes routes) {
        routes.get("/v1/worker", (in, out) -> respond(out, () -> worker.state(now())))
                .get("/v1/usage", (in, out) -> respond(out, worker::usage))
                .get("/v1/records", (in, out) -> sendNow(out, 200, worker.records().all()))
                .put("/v1/behaviour", this::setBehaviour)
                .put("/v1/tasks/{id}", this::start)
                .post("/v1/tasks/{id}/{action}", this::change)
                .post("/v1/serve/{kind}", this::serve);
    }

    private Publisher<Void> setBehaviour(HttpServerRequest in, HttpServerResponse out) {
        return body(in).flatMap(
                        text -> {
                            worker.setBehaviour(read(text, Behaviour.class));
                            return Mono.from(sendNow(out, 200, worker.behaviour()));
                        });
    }

    private Publisher<Void> start(HttpServerRequest in, HttpServerResponse out) {
        String id = decode(in.param("id"));
        return body(in).flatMap(
                        text ->
                                Mono.from(
                                        reply(
                                                out,
                                                () ->
                                                        worker.start(
                                                                id,
                                                                read(text, StartOrder.class),
                                                                now()))));
    }

    private Publisher<Void> change(HttpServerRequest in, HttpServerResponse out) {
        String id = decode(in.param("id"));
        String action = in.param("action");
        return body(in).flatMap(
                        text ->
                                Mono.from(
                                        reply(
                                                out,
                                                () ->
                                                        change(
                                                                id,
                                                                action,
                                                                read(text, TaskOrder.class)))));
    }

    private TaskReply change(String id, String action, TaskOrder order) {
        return switch (action) {
            case "lease" -> worker.renew(id, order, now());
            case "checkpoint" -> worker.checkpoint(id, order, now());
            case "throttle" -> worker.throttle(id, order, now());
            case "stop" -> worker.stop(id, order, now());
            default -> TaskReply.refused("unknown action " + action);
        };
    }

    private Publisher<Void> serve(HttpServerRequest in, HttpServerResponse out) {
        String kind = decode(in.param("kind"));
        List<String> keys =
                new QueryStringDecoder(in.uri()).parameters().getOrDefault("key", List.of(""));
        return whenThawed()
                .then(body(in))
                .flatMap(text -> instance.serve(kind, keys.get(0), text))
                .flatMap(answer -> delayed(answer))
                .map(answer -> List.of("200", answer))
                .defaultIfEmpty(List.of("503", "{\"reason\":\"no connection is free\"}"))
                .flatMap(
                        answer ->
                                out.status(Integer.parseInt(answer.get(0)))
                                        .header("content-type", "application/json")
                                        .sendString(Mono.just(answer.get(1)))
                                        .then());
    }

    private Publisher<Void> reply(
            HttpServerResponse out, java.util.function.Supplier<TaskReply> call) {
        return whenThawed()
                .then(Mono.fromSupplier(call))
                .flatMap(this::delayed)
                .flatMap(answer -> Mono.from(sendNow(out, answer.accepted() ? 200 : 409, answer)));
    }

    private Publisher<Void> respond(
            HttpServerResponse out, java.util.function.Supplier<Object> value) {
        return whenThawed()
                .then(Mono.fromSupplier(value))
                .flatMap(this::delayed)
                .flatMap(answer -> Mono.from(sendNow(out, 200, answer)));
    }

    private Mono<Void> whenThawed() {
        return Mono.defer(
                () ->
                        worker.behaviour().frozen()
                                ? Mono.delay(FREEZE_POLL).then(whenThawed())
                                : Mono.empty());
    }

    private <T> Mono<T> delayed(T value) {
        Behaviour behaviour = worker.behaviour();
        long extra =
                behaviour.reordered()
                        ? ThreadLocalRandom.current().nextLong(GREATEST_REORDER_MILLIS)
                        : 0;
        long millis = behaviour.delayMillis() + extra;
        return millis == 0
                ? Mono.just(value)
                : Mono.just(value).delayElement(Duration.ofMillis(millis));
    }

    private Publisher<Void> sendNow(HttpServerResponse out, int status, Object value) {
        return out.status(status)
                .header("content-type", "application/json")
                .sendString(Mono.just(write(value)));
    }

    private static Mono<String> body(HttpServerRequest in) {
        return in.receive().aggregate().asString().defaultIfEmpty("");
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
