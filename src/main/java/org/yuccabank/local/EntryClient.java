package org.yuccabank.local;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpMethod;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import reactor.core.publisher.Mono;
import reactor.netty.http.client.HttpClient;
import reactor.netty.resources.ConnectionProvider;

/**
 * HTTP client that sends requests to the entries in round-robin order, as the load balancer of the
 * platform does. Thread-safe.
 */
public final class EntryClient {

    private static final int MAXIMUM_CONNECTIONS = 256;
    private static final Duration RESPONSE_TIMEOUT = Duration.ofSeconds(60);

    private final List<InetSocketAddress> entries;
    private final AtomicInteger nextEntry = new AtomicInteger();
    private final ConnectionProvider connections;
    private final HttpClient client;

    private EntryClient(List<InetSocketAddress> entries) {
        this.entries = List.copyOf(entries);
        connections =
                ConnectionProvider.builder("local-load")
                        .maxConnections(MAXIMUM_CONNECTIONS)
                        .pendingAcquireMaxCount(-1)
                        .build();
        client = HttpClient.create(connections).responseTimeout(RESPONSE_TIMEOUT);
    }

    /**
     * Response of an entry.
     *
     * @param status HTTP status, 0 if there was no response
     * @param outcome value of the outcome header, empty if absent
     * @param late whether the response was marked as late
     * @param body response body, or the error if there was no response
     */
    public record Response(int status, String outcome, boolean late, String body) {}

    /**
     * Creates a client.
     *
     * @param entries addresses of the entries
     * @return the client
     */
    public static EntryClient of(List<InetSocketAddress> entries) {
        return new EntryClient(entries);
    }

    /**
     * Sends a request to the next entry.
     *
     * @param method HTTP method
     * @param path path with the query
     * @param headers request headers
     * @param body request body, may be empty
     * @return the response, with status 0 if the request failed without one
     */
    public Mono<Response> send(
            HttpMethod method, String path, Map<String, String> headers, String body) {
        InetSocketAddress entry =
                entries.get(Math.floorMod(nextEntry.getAndIncrement(), entries.size()));
        return client.headers(httpHeaders -> headers.forEach(httpHeaders::set))
                .request(method)
                .uri("http://" + entry.getHostString() + ":" + entry.getPort() + path)
                .send(
                        Mono.fromSupplier(
                                () ->
                                        Unpooled.wrappedBuffer(
                                                body.getBytes(StandardCharsets.UTF_8))))
                .responseSingle(
                        (response, content) ->
                                content.asString(StandardCharsets.UTF_8)
                                        .defaultIfEmpty("")
                                        .map(
                                                text ->
                                                        new Response(
                                                                response.status().code(),
                                                                response.responseHeaders()
                                                                        .get(
                                                                                "Yuccabank-Outcome",
                                                                                ""),
                                                                response.responseHeaders()
                                                                        .get("Yuccabank-Late", "")
                                                                        .equals("true"),
                                                                text)))
                .onErrorResume(error -> Mono.just(new Response(0, "", false, error.toString())));
    }

    /** Closes all connections. */
    public void stop() {
        connections.disposeLater().block(RESPONSE_TIMEOUT);
    }
}
