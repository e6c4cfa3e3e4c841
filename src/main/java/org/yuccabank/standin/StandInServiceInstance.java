package org.yuccabank.standin;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Map;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;
import org.yuccabank.standin.WorkerRecord.Event;
import reactor.core.publisher.Mono;
import reactor.core.publisher.MonoSink;

/**
 * Service instance of a stand-in worker. Runs a limited number of requests concurrently, queues
 * more up to the connection limit and rejects the rest. The time of a request depends on the tasks
 * that run on the host. Thread-safe.
 */
final class StandInServiceInstance {

    private static final double MINIMUM_TIME_FACTOR = 0.8;
    private static final double TIME_FACTOR_SPREAD = 0.4;

    private final StandInConfiguration configuration;
    private final StandInWorker worker;
    private final ObjectMapper json;
    private final RandomGenerator random;
    private final ArrayDeque<MonoSink<Boolean>> waitingRequests = new ArrayDeque<>();
    private int runningRequests;

    StandInServiceInstance(
            StandInConfiguration configuration, StandInWorker worker, ObjectMapper json) {
        this.configuration = configuration;
        this.worker = worker;
        this.json = json;
        this.random = RandomGeneratorFactory.of("L64X128MixRandom").create(configuration.seed());
    }

    /** Runs a request and returns a response that echoes its key and body; empty if rejected. */
    Mono<String> serve(String kind, String key, String body) {
        return Mono.<Boolean>create(this::acquireSlot)
                .flatMap(
                        admitted -> {
                            if (!admitted) {
                                addRecord(Event.REQUEST_REFUSED, kind, key);
                                return Mono.empty();
                            }
                            addRecord(Event.REQUEST_STARTED, kind, key);
                            return Mono.delay(Duration.ofNanos(serviceTimeNanos(kind)))
                                    .map(tick -> finish(kind, key, body));
                        });
    }

    private String finish(String kind, String key, String body) {
        addRecord(Event.REQUEST_FINISHED, kind, key);
        releaseSlot();
        try {
            return json.writeValueAsString(
                    Map.of(
                            "key", key,
                            "kind", kind,
                            "target", configuration.targetId(),
                            "echo", body));
        } catch (com.fasterxml.jackson.core.JsonProcessingException exception) {
            throw new IllegalStateException(exception);
        }
    }

    private synchronized long serviceTimeNanos(String kind) {
        double timeFactor = MINIMUM_TIME_FACTOR + TIME_FACTOR_SPREAD * random.nextDouble();
        double millis = configuration.serveMillis() * timeFactor * (1 + worker.totalSlowdown(kind));
        return (long) (millis * 1_000_000);
    }

    private synchronized void acquireSlot(MonoSink<Boolean> sink) {
        if (runningRequests < configuration.slots()) {
            runningRequests++;
            sink.success(true);
        } else if (runningRequests + waitingRequests.size() < configuration.connections()) {
            waitingRequests.add(sink);
        } else {
            sink.success(false);
        }
    }

    private void releaseSlot() {
        MonoSink<Boolean> next;
        synchronized (this) {
            next = waitingRequests.poll();
            if (next == null) {
                runningRequests--;
            }
        }
        if (next != null) {
            next.success(true);
        }
    }

    private void addRecord(Event event, String kind, String key) {
        long now = System.currentTimeMillis();
        worker.records().add(new WorkerRecord(now, event, key, kind, 0, 0, ""));
    }
}
