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
 * The service instance of a stand-in worker: a limited number of requests runs, some more wait, and
 * the time of each depends on the tasks beside it. Thread-safe.
 */
final class StandInInstance {

    private static final double LEAST_TIME_SHARE = 0.8;
    private static final double TIME_SPREAD = 0.4;

    private final StandInConfiguration configuration;
    private final StandInWorker worker;
    private final ObjectMapper json;
    private final RandomGenerator random;
    private final ArrayDeque<MonoSink<Boolean>> waiting = new ArrayDeque<>();
    private int running;

    StandInInstance(StandInConfiguration configuration, StandInWorker worker, ObjectMapper json) {
        this.configuration = configuration;
        this.worker = worker;
        this.json = json;
        this.random = RandomGeneratorFactory.of("L64X128MixRandom").create(configuration.seed());
    }

    /** Runs a request; the response holds its key and its body. */
    Mono<String> serve(String kind, String key, String body) {
        return Mono.<Boolean>create(this::enter)
                .flatMap(
                        admitted -> {
                            if (!admitted) {
                                add(Event.REQUEST_REFUSED, kind, key);
                                return Mono.empty();
                            }
                            add(Event.REQUEST_STARTED, kind, key);
                            return Mono.delay(Duration.ofNanos(nanos(kind)))
                                    .map(tick -> finish(kind, key, body));
                        });
    }

    private String finish(String kind, String key, String body) {
        add(Event.REQUEST_FINISHED, kind, key);
        leave();
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

    private synchronized long nanos(String kind) {
        double share = LEAST_TIME_SHARE + TIME_SPREAD * random.nextDouble();
        double millis = configuration.serveMillis() * share * (1 + worker.slowdownOf(kind));
        return (long) (millis * 1_000_000);
    }

    private synchronized void enter(MonoSink<Boolean> sink) {
        if (running < configuration.slots()) {
            running++;
            sink.success(true);
        } else if (running + waiting.size() < configuration.connections()) {
            waiting.add(sink);
        } else {
            sink.success(false);
        }
    }

    private void leave() {
        MonoSink<Boolean> next;
        synchronized (this) {
            next = waiting.poll();
            if (next == null) {
                running--;
            }
        }
        if (next != null) {
            next.success(true);
        }
    }

    private void add(Event event, String kind, String key) {
        long now = System.currentTimeMillis();
        worker.records().add(new WorkerRecord(now, event, key, kind, 0, 0, ""));
    }
}
