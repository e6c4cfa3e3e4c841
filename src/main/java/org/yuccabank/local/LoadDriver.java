package org.yuccabank.local;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.handler.codec.http.HttpMethod;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicLong;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/**
 * Sends the load of a profile at fixed rates, whatever the answers, and counts them. Each stream
 * runs on Reactor's threads; the counters are safe for use by several threads.
 */
public final class LoadDriver {

    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final Duration COMPLETION_TIMEOUT = Duration.ofSeconds(60);
    private static final Duration POLL_INTERVAL = Duration.ofMillis(250);
    private static final int STATUS_OK = 200;
    private static final int STATUS_CREATED = 201;

    private final LoadProfile profile;
    private final EntryClient client;
    private final String run;
    private final AtomicLong served = new AtomicLong();
    private final AtomicLong late = new AtomicLong();
    private final AtomicLong refused = new AtomicLong();
    private final AtomicLong unknown = new AtomicLong();
    private final AtomicLong mismatched = new AtomicLong();
    private final AtomicLong jobsRefused = new AtomicLong();
    private final Queue<String> jobIds = new ConcurrentLinkedQueue<>();
    private final Histogram latencyMicros = new ConcurrentHistogram(60_000_000L, 3);

    private LoadDriver(LoadProfile profile, EntryClient client, String run) {
        this.profile = profile;
        this.client = client;
        this.run = run;
    }

    /**
     * Creates a driver.
     *
     * @param profile the load
     * @param client sends the requests
     * @param run name of the run, part of every idempotency key
     * @return the driver
     */
    public static LoadDriver of(LoadProfile profile, EntryClient client, String run) {
        return new LoadDriver(profile, client, run);
    }

    /**
     * Sends the load for some time and waits for the answers.
     *
     * @param duration time for which requests are sent
     */
    public void run(Duration duration) {
        List<Flux<Void>> streams = new ArrayList<>();
        profile.urgent().forEach(stream -> streams.add(sendRequests(stream, duration)));
        profile.atMostOnce().forEach(stream -> streams.add(sendRequests(stream, duration)));
        profile.batch().forEach(stream -> streams.add(jobIds(stream, duration)));
        Flux.merge(Flux.fromIterable(streams), streams.size())
                .blockLast(duration.plus(COMPLETION_TIMEOUT));
    }

    private Flux<Void> sendRequests(LoadProfile.RequestStream stream, Duration duration) {
        String body = "x".repeat(stream.bodyBytes());
        return ticks(stream.requestsPerSecond(), duration)
                .flatMap(number -> sendRequest(stream.kind(), number, body), Integer.MAX_VALUE);
    }

    private static Flux<Long> ticks(double ratePerSecond, Duration duration) {
        long count = Math.round(ratePerSecond * duration.toMillis() / 1_000.0);
        Duration period = Duration.ofNanos(Math.round(1e9 / ratePerSecond));
        return Flux.interval(period).onBackpressureBuffer().take(count);
    }

    private Mono<Void> sendRequest(String kind, long number, String body) {
        String key = run + "-" + kind + "-" + number;
        long startNanos = System.nanoTime();
        return client.send(
                        HttpMethod.POST,
                        "/v1/services/" + profile.service() + "/" + kind,
                        Map.of(
                                "Yuccabank-Account",
                                accountOf(number),
                                "Idempotency-Key",
                                key,
                                "Content-Type",
                                "text/plain"),
                        body)
                .doOnNext(response -> recordResponse(response, key, body, startNanos))
                .then();
    }

    private String accountOf(long number) {
        return profile.accounts().get((int) (number % profile.accounts().size()));
    }

    private void recordResponse(
            EntryClient.Response response, String key, String body, long startNanos) {
        if (response.status() == STATUS_OK) {
            served.incrementAndGet();
            latencyMicros.recordValue(
                    Math.min((System.nanoTime() - startNanos) / 1_000, 60_000_000L));
            if (!matchesRequest(response.body(), key, body)) {
                mismatched.incrementAndGet();
            }
        } else if (response.outcome().equals("not-run")) {
            refused.incrementAndGet();
        } else {
            unknown.incrementAndGet();
        }
        if (response.late()) {
            late.incrementAndGet();
        }
    }

    private static boolean matchesRequest(String responseBody, String key, String requestBody) {
        try {
            JsonNode node = MAPPER.readTree(responseBody);
            return node.path("key").asText().equals(key)
                    && node.path("echo").asText().equals(requestBody);
        } catch (JsonProcessingException exception) {
            return false;
        }
    }

    private Flux<Void> jobIds(LoadProfile.JobStream stream, Duration duration) {
        String body = jobBody(stream);
        return ticks(stream.jobsPerSecond(), duration)
                .flatMap(number -> submitJob(stream.kind(), number, body), Integer.MAX_VALUE);
    }

    private static String jobBody(LoadProfile.JobStream stream) {
        var node =
                MAPPER.createObjectNode()
                        .put("kind", stream.kind())
                        .put("tasks", stream.tasks())
                        .put("runMillis", stream.runMillis())
                        .put("checkpointable", stream.checkpointable());
        node.putObject("resources")
                .put("processorMillis", stream.declared().processorMillis())
                .put("memoryMebibytes", stream.declared().memoryMebibytes());
        return node.toString();
    }

    private Mono<Void> submitJob(String kind, long number, String body) {
        return client.send(
                        HttpMethod.POST,
                        "/v1/jobs",
                        Map.of(
                                "Yuccabank-Account",
                                accountOf(number),
                                "Idempotency-Key",
                                run + "-" + kind + "-" + number),
                        body)
                .doOnNext(
                        response -> {
                            if (response.status() == STATUS_CREATED) {
                                jobIds.add(parseJobId(response.body()));
                            } else {
                                jobsRefused.incrementAndGet();
                            }
                        })
                .then();
    }

    private static String parseJobId(String body) {
        try {
            return MAPPER.readTree(body).path("job").asText();
        } catch (JsonProcessingException exception) {
            throw new IllegalStateException("the entry sent invalid JSON", exception);
        }
    }

    /**
     * Waits until every submitted job has ended, at most a minute.
     *
     * @return number of jobs that finished
     */
    public long awaitJobs() {
        long deadlineNanos = System.nanoTime() + COMPLETION_TIMEOUT.toNanos();
        while (true) {
            List<String> states =
                    Flux.fromIterable(jobIds).flatMap(this::fetchJobState, 8).collectList().block();
            long active =
                    states.stream()
                            .filter(state -> state.equals("active") || state.equals("cancelling"))
                            .count();
            if (active == 0 || System.nanoTime() > deadlineNanos) {
                return states.stream().filter("finished"::equals).count();
            }
            Mono.delay(POLL_INTERVAL).block();
        }
    }

    private Mono<String> fetchJobState(String jobId) {
        return client.send(HttpMethod.GET, "/v1/jobs/" + jobId, Map.of(), "")
                .map(
                        response -> {
                            try {
                                return MAPPER.readTree(response.body())
                                        .path("state")
                                        .asText("active");
                            } catch (JsonProcessingException exception) {
                                return "active";
                            }
                        });
    }

    /**
     * What the callers saw.
     *
     * @param served requests that were answered whole
     * @param late answers that were flagged as late
     * @param refused requests that were told "not run"
     * @param unknown requests without a known outcome
     * @param mismatched answers that belong to another request
     * @param jobsSubmitted jobs that were accepted
     * @param jobsRefused jobs that were refused
     * @param latencyMicros latency of the served requests
     */
    public record Counts(
            long served,
            long late,
            long refused,
            long unknown,
            long mismatched,
            long jobsSubmitted,
            long jobsRefused,
            Histogram latencyMicros) {}

    /**
     * The counts so far.
     *
     * @return the counts
     */
    public Counts counts() {
        return new Counts(
                served.get(),
                late.get(),
                refused.get(),
                unknown.get(),
                mismatched.get(),
                jobIds.size(),
                jobsRefused.get(),
                latencyMicros.copy());
    }
}
