package org.yuccabank.platform;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.channel.EventLoopGroup;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import org.yuccabank.protocol.PeerTransport;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;
import reactor.netty.DisposableServer;

/**
 * A stand-in for the platform's minion: ends runs after a short time, numbers the ends and discards
 * them once they are acknowledged. It discards later ends up to an acknowledged number, too, and
 * does nothing for a lower fencing token than it has seen. A new incarnation has seen neither, and
 * executes every call for its identifier, also one that was meant for an earlier incarnation.
 * Thread-safe.
 */
final class StandInMinion {

    static final String ID = "m-1";

    private static final long SHORT_RUN_MILLIS = 60;
    private static final long DOWNTIME_MILLIS = 600;

    private volatile long born;
    private final Map<String, Long> running = new LinkedHashMap<>();
    private final Map<Long, String> finished = new LinkedHashMap<>();
    private final List<String> starts = new CopyOnWriteArrayList<>();
    private final List<Long> droppedAtMillis = new CopyOnWriteArrayList<>();
    private final List<String> droppedRuns = new CopyOnWriteArrayList<>();
    private final Set<String> known = new HashSet<>();
    private volatile JsonFields droppedStart;
    private OptionalLong bornAfterNextEnds = OptionalLong.empty();
    private volatile long listCount;
    private int listsBeforeRestart;
    private final List<String> done = new CopyOnWriteArrayList<>();
    private final EventLoopGroup eventLoops = PeerTransport.eventLoopGroup("minion", 1);
    private final Sinks.Empty<Void> stopping = Sinks.empty();
    private final InetSocketAddress address;
    private DisposableServer server;
    private long lastNumber;
    private long acknowledgedNumber;
    private long highestToken;
    private JsonFields latestAcknowledgement;
    private volatile boolean answersStarts = true;
    private volatile boolean dropsNextStart;
    private volatile boolean dropsStarts;
    private volatile long lastStartMillis;
    private volatile long runMillis = SHORT_RUN_MILLIS;

    StandInMinion(InetSocketAddress address, long born) {
        this.born = born;
        this.address = address;
        server = HttpServers.serve(address, eventLoops, this::handle);
    }

    /** Returns the names and attempts of all runs, in the order of their starts. */
    List<String> starts() {
        return starts;
    }

    /** Sets whether starts are answered. They are executed in any case. */
    void setAnswersStarts(boolean newValue) {
        answersStarts = newValue;
    }

    /** Makes the minion neither execute nor answer the next start. */
    void dropNextStart() {
        dropsNextStart = true;
    }

    /** Sets whether the minion neither executes nor answers starts. */
    void setDropsStarts(boolean newValue) {
        dropsStarts = newValue;
    }

    /** Returns whether a start of a run was neither executed nor answered. */
    boolean hasDropped(String run) {
        return droppedRuns.contains(run);
    }

    /** Returns the time from the dropped start to the newest one. */
    long retryMillis() {
        return lastStartMillis - droppedAtMillis.get(0);
    }

    /** Prevents runs from ending by themselves. */
    void disableCompletion() {
        runMillis = Long.MAX_VALUE;
    }

    /** Lets runs end by themselves, also those that have started before. */
    void enableCompletion() {
        runMillis = SHORT_RUN_MILLIS;
    }

    /** Restarts with a new birth time: discards all runs and resets the numbers of ends. */
    synchronized void restart(long newBorn) {
        running.clear();
        finished.clear();
        known.clear();
        listCount = 0;
        lastNumber = 0;
        acknowledgedNumber = 0;
        highestToken = 0;
        runMillis = SHORT_RUN_MILLIS;
        born = newBorn;
    }

    /** Restarts like a process that is down for a while, which closes all connections. */
    void restartProcess(long newBorn) throws InterruptedException {
        restartProcess(newBorn, () -> {});
    }

    /** The same with calls that the new process carries out first. */
    void restartProcess(long newBorn, Runnable firstCalls) throws InterruptedException {
        HttpServers.stop(server, Duration.ofMillis(200));
        Thread.sleep(DOWNTIME_MILLIS);
        restart(newBorn);
        firstCalls.run();
        server = HttpServers.serve(address, eventLoops, this::handle);
    }

    /**
     * Restarts in place, so that open connections live on, right after the answer to the next list
     * with ends.
     */
    synchronized void restartAfterNextEnds(long newBorn) {
        restartAfterLists(newBorn, 1);
    }

    /** The same, but only after the answers to some lists with ends. */
    synchronized void restartAfterLists(long newBorn, int lists) {
        bornAfterNextEnds = OptionalLong.of(newBorn);
        listsBeforeRestart = lists;
    }

    /** Returns the names and attempts of the runs that have ended as done. */
    List<String> done() {
        return done;
    }

    /** Returns whether a run is active. */
    synchronized boolean isRunning(String run) {
        return running.containsKey(run);
    }

    /** Returns whether there are ends that have not been acknowledged. */
    synchronized boolean hasEnds() {
        return !finished.isEmpty();
    }

    /** Returns the number of lists that this incarnation has answered. */
    long listCount() {
        return listCount;
    }

    /** Returns the latest start that was neither executed nor answered. */
    JsonFields droppedStart() {
        return droppedStart;
    }

    /** Carries out a start late. */
    void deliverStart(JsonFields body) {
        if (!isFenced(body)) {
            start(body).subscribe();
        }
    }

    /** Returns the latest call that acknowledged ends. */
    synchronized JsonFields latestAcknowledgement() {
        return latestAcknowledgement;
    }

    /** Returns the highest fencing token that this incarnation has seen. */
    synchronized long highestToken() {
        return highestToken;
    }

    /** Executes a call again, as if it had been delivered late. */
    void deliverAgain(JsonFields body) {
        list(body);
    }

    void stop() {
        stopping.tryEmitEmpty();
        server.disposeNow(Duration.ofSeconds(1));
        PeerTransport.shutDown(eventLoops);
    }

    static long clock() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }

    private Mono<HttpServers.Response> handle(HttpServers.Request request) {
        String addressed =
                request.httpRequest().requestHeaders().get("X-Yuccabank-Expected-Instance", ID);
        if (!addressed.equals(ID)) {
            return Mono.just(HttpServers.Response.of(421, statusBody()));
        }
        JsonFields body = JsonFields.parse(request.body());
        if (isFenced(body)) {
            return Mono.just(HttpServers.Response.of(409, statusBody().put("reason", "fence")));
        }
        return switch (request.path()) {
            case "/api/run-start" -> start(body);
            case "/api/run-stop" -> Mono.just(stop(body));
            case "/api/hold" ->
                    Mono.delay(Duration.ofMillis(Math.min(50, body.nonNegativeLong("wait_ms"))))
                            .map(tick -> list(body));
            default -> Mono.just(HttpServers.Response.of(200, statusBody()));
        };
    }

    private ObjectNode statusBody() {
        return JsonFields.emptyObject().put("clock_ms", clock()).put("born", born);
    }

    private synchronized boolean isFenced(JsonFields body) {
        long token = body.nonNegativeLong("fencing_token");
        boolean fenced = token < highestToken;
        highestToken = Math.max(highestToken, token);
        return fenced;
    }

    private static String key(JsonFields body) {
        return body.requiredText("task") + "#" + body.nonNegativeLong("attempt");
    }

    private synchronized Mono<HttpServers.Response> start(JsonFields body) {
        if (dropsNextStart || dropsStarts) {
            dropsNextStart = false;
            droppedAtMillis.add(clock());
            droppedRuns.add(key(body));
            droppedStart = body;
            return unanswered();
        }
        lastStartMillis = clock();
        String key = key(body);
        if (known.add(key)) {
            starts.add(key);
            running.put(key, clock());
        } else if (!running.containsKey(key) && answersStarts) {
            return Mono.just(HttpServers.Response.of(409, statusBody().put("reason", "old")));
        }
        return answersStarts ? Mono.just(HttpServers.Response.of(200, statusBody())) : unanswered();
    }

    /** Returns a response that is sent only at the stop, which waits for all requests. */
    private Mono<HttpServers.Response> unanswered() {
        return stopping.asMono().thenReturn(HttpServers.Response.of(503));
    }

    private synchronized HttpServers.Response stop(JsonFields body) {
        String key = key(body);
        known.add(key);
        if (running.remove(key) != null) {
            finished.put(++lastNumber, key + " stopped");
        }
        return HttpServers.Response.of(200, statusBody());
    }

    private synchronized HttpServers.Response list(JsonFields body) {
        if (isFenced(body)) {
            return HttpServers.Response.of(409, statusBody().put("reason", "fence"));
        }
        if (body.nonNegativeLong("ack_seq") > 0) {
            latestAcknowledgement = body;
        }
        acknowledgedNumber = Math.max(acknowledgedNumber, body.nonNegativeLong("ack_seq"));
        for (String key : new ArrayList<>(running.keySet())) {
            if (clock() - running.get(key) >= runMillis) {
                running.remove(key);
                done.add(key);
                finished.put(++lastNumber, key + " done");
            }
        }
        finished.keySet().removeIf(number -> number <= acknowledgedNumber);
        listCount++;
        ObjectNode listing = statusBody();
        ArrayNode active = listing.putArray("running");
        for (String key : running.keySet()) {
            String[] parts = key.split("#", 2);
            active.addArray().add(parts[0]).add(Integer.parseInt(parts[1])).add("").add(50).add(7);
        }
        ArrayNode ended = listing.putArray("finished");
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
        if (!finished.isEmpty() && bornAfterNextEnds.isPresent() && --listsBeforeRestart == 0) {
            restart(bornAfterNextEnds.getAsLong());
            bornAfterNextEnds = OptionalLong.empty();
        }
        return HttpServers.Response.of(200, listing);
    }
}
