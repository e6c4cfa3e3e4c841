package org.yuccabank.platform;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.channel.EventLoopGroup;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import org.yuccabank.protocol.PeerTransport;
import reactor.core.publisher.Mono;
import reactor.netty.DisposableServer;

/**
 * A stand-in of the platform's minion: keeps runs, ends them after a short time, numbers the ends
 * and forgets them when told. Thread-safe.
 */
final class StandInMinion {

    private static final long SHORT_RUN_MILLIS = 60;

    private volatile long born;
    private final Map<String, Long> running = new LinkedHashMap<>();
    private final Map<Long, String> finished = new LinkedHashMap<>();
    private final List<String> starts = new CopyOnWriteArrayList<>();
    private final List<Long> swallowedMillis = new CopyOnWriteArrayList<>();
    private final EventLoopGroup threads = PeerTransport.eventLoopGroup("minion", 1);
    private final DisposableServer server;
    private long lastNumber;
    private volatile boolean answersStarts = true;
    private volatile boolean swallowsNextStart;
    private volatile long startedMillis;
    private volatile long runMillis = SHORT_RUN_MILLIS;

    StandInMinion(InetSocketAddress address, long born) {
        this.born = born;
        server = HttpCalls.serve(address, threads, this::answer);
    }

    /** Names and attempts of all starts, in order. */
    List<String> starts() {
        return starts;
    }

    /** Whether starts are answered; they are carried out in any case. */
    void answerStarts(boolean answer) {
        answersStarts = answer;
    }

    /** The next start is neither carried out nor answered. */
    void swallowNextStart() {
        swallowsNextStart = true;
    }

    /** Time from the start that was swallowed to the newest one. */
    long retryMillis() {
        return startedMillis - swallowedMillis.get(0);
    }

    /** Runs that are there do not end by themselves any more. */
    void runForever() {
        runMillis = Long.MAX_VALUE;
    }

    /** Starts anew: everything that ran is gone, and the numbers of ends begin again. */
    synchronized void restart(long newBorn) {
        running.clear();
        finished.clear();
        lastNumber = 0;
        runMillis = SHORT_RUN_MILLIS;
        born = newBorn;
    }

    void stop() {
        server.disposeNow(Duration.ofSeconds(1));
        PeerTransport.shutDown(threads);
    }

    private static long clock() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }

    private Mono<HttpCalls.Answer> answer(HttpCalls.Call call) {
        Fields body = Fields.parse(call.body());
        return switch (call.path()) {
            case "/api/run-start" -> start(body);
            case "/api/run-stop" -> Mono.just(stop(body));
            case "/api/hold" ->
                    Mono.delay(Duration.ofMillis(Math.min(50, body.number("wait_ms"))))
                            .map(tick -> hold(body));
            default -> Mono.just(HttpCalls.Answer.of(200, told()));
        };
    }

    private ObjectNode told() {
        return Fields.object().put("clock_ms", clock()).put("born", born);
    }

    private static String key(Fields body) {
        return body.text("task") + "#" + body.number("attempt");
    }

    private synchronized Mono<HttpCalls.Answer> start(Fields body) {
        if (swallowsNextStart) {
            swallowsNextStart = false;
            swallowedMillis.add(clock());
            return Mono.never();
        }
        startedMillis = clock();
        String key = key(body);
        if (!starts.contains(key)) {
            starts.add(key);
            running.put(key, clock());
        }
        return answersStarts ? Mono.just(HttpCalls.Answer.of(200, told())) : Mono.never();
    }

    private synchronized HttpCalls.Answer stop(Fields body) {
        String key = key(body);
        if (running.remove(key) != null) {
            finished.put(++lastNumber, key + " stopped");
        }
        return HttpCalls.Answer.of(200, told());
    }

    private synchronized HttpCalls.Answer hold(Fields body) {
        finished.keySet().removeIf(number -> number <= body.number("ack_seq"));
        for (String key : new ArrayList<>(running.keySet())) {
            if (clock() - running.get(key) >= runMillis) {
                running.remove(key);
                finished.put(++lastNumber, key + " done");
            }
        }
        ObjectNode answer = told();
        ArrayNode active = answer.putArray("running");
        for (String key : running.keySet()) {
            String[] parts = key.split("#", 2);
            active.addArray().add(parts[0]).add(Integer.parseInt(parts[1])).add("").add(50).add(7);
        }
        ArrayNode ended = answer.putArray("finished");
        finished.forEach(
                (number, text) -> {
                    String[] parts = text.split("[# ]", 3);
                    ended.addArray()
                            .add(number)
                            .add(parts[0])
                            .add(Integer.parseInt(parts[1]))
                            .add(parts[2])
                            .add("");
                });
        return HttpCalls.Answer.of(200, answer);
    }
}
