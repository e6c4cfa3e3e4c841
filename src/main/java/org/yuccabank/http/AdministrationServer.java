package org.yuccabank.http;

import com.codahale.metrics.Counting;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.Metric;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Sampling;
import com.codahale.metrics.Snapshot;
import io.netty.handler.codec.http.HttpHeaderNames;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Locale;
import java.util.Map;
import java.util.Objects;
import java.util.function.BooleanSupplier;
import org.yuccabank.event.Event;
import org.yuccabank.event.EventLog;
import reactor.core.publisher.Mono;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServer;

/** HTTP server for {@code GET /metrics} and {@code GET /health} of one process. Thread-safe. */
public final class AdministrationServer {

    private static final Duration STOP_TIMEOUT = Duration.ofSeconds(5);
    private static final int SERVICE_UNAVAILABLE = 503;

    private final DisposableServer server;

    private AdministrationServer(DisposableServer server) {
        this.server = server;
    }

    /**
     * Starts the server.
     *
     * @param address listen address; for port 0 the system assigns a port
     * @param metrics metrics of the process
     * @param healthy returns whether the process admits work; the health check responds with 503
     *     otherwise
     * @return the running server
     */
    public static AdministrationServer start(
            InetSocketAddress address, MetricRegistry metrics, BooleanSupplier healthy) {
        Objects.requireNonNull(address, "address is null");
        registerEventMetrics(metrics);
        DisposableServer server =
                HttpServer.create()
                        .bindAddress(() -> address)
                        .route(
                                routes ->
                                        routes.get(
                                                        "/metrics",
                                                        (request, response) ->
                                                                response.header(
                                                                                HttpHeaderNames
                                                                                        .CONTENT_TYPE,
                                                                                "text/plain;"
                                                                                        + " charset=utf-8")
                                                                        .sendString(
                                                                                Mono.just(
                                                                                        renderMetrics(
                                                                                                metrics))))
                                                .get(
                                                        "/health",
                                                        (request, response) ->
                                                                response.status(
                                                                                healthy
                                                                                                .getAsBoolean()
                                                                                        ? 200
                                                                                        : SERVICE_UNAVAILABLE)
                                                                        .sendString(
                                                                                Mono.just(
                                                                                        healthy
                                                                                                        .getAsBoolean()
                                                                                                ? "healthy\n"
                                                                                                : "not admitting"
                                                                                                        + " work\n"))))
                        .bindNow();
        return new AdministrationServer(server);
    }

    private static void registerEventMetrics(MetricRegistry metrics) {
        metrics.<Gauge<Long>>gauge("log_lines_suppressed", () -> EventLog::suppressedLines);
        for (Event event : Event.values()) {
            metrics.<Gauge<Long>>gauge(
                    "events_" + event.name().toLowerCase(Locale.ROOT),
                    () -> () -> EventLog.occurrences(event));
        }
    }

    /**
     * Returns the listen address.
     *
     * @return the address with the port in use
     */
    public InetSocketAddress address() {
        return (InetSocketAddress) server.address();
    }

    /** Stops the server and waits up to 5 s for it to close. */
    public void stop() {
        server.disposeNow(STOP_TIMEOUT);
    }

    /** Formats each metric as lines of {@code name value}, with quantiles in milliseconds. */
    static String renderMetrics(MetricRegistry metrics) {
        StringBuilder text = new StringBuilder();
        for (Map.Entry<String, Metric> entry : metrics.getMetrics().entrySet()) {
            append(text, entry.getKey(), entry.getValue());
        }
        return text.toString();
    }

    private static void append(StringBuilder text, String name, Metric metric) {
        if (metric instanceof Gauge<?> gauge) {
            text.append(name).append(' ').append(gauge.getValue()).append('\n');
        }
        if (metric instanceof Counting counting) {
            text.append(name).append("_count ").append(counting.getCount()).append('\n');
        }
        if (metric instanceof Sampling sampling) {
            Snapshot snapshot = sampling.getSnapshot();
            appendMillis(text, name + "_p50_ms", snapshot.getMedian());
            appendMillis(text, name + "_p99_ms", snapshot.get99thPercentile());
            appendMillis(text, name + "_max_ms", snapshot.getMax());
        }
    }

    private static void appendMillis(StringBuilder text, String name, double nanos) {
        text.append(name).append(' ').append(nanos / 1e6).append('\n');
    }
}
