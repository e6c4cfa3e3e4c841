import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.UUID;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * Stand-in for a minion and its machine, as PROTOCOL.md describes them. One lifetime at a time;
 * {@link #crash} ends it and {@link #start} begins the next one. Thread-safe.
 */
final class Minion {

    /** What the minion does with a run that it starts. */
    record Plan(long durationMillis, boolean lasting, int gangSize, int figure) {}

    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final long HEARTBEAT_MILLIS = 1_500;
    private static final long CONFIRMATION_MILLIS = 1_000;

    private static final class Run {
        final String task;
        final int attempt;
        final Plan plan;
        final long startedMillis;
        long workingFromMillis;

        Run(String task, int attempt, Plan plan, long startedMillis) {
            this.task = task;
            this.attempt = attempt;
            this.plan = plan;
            this.startedMillis = startedMillis;
        }
    }

    private record End(long number, String task, int attempt, String how) {}

    final String machine;
    private final Deployment deployment;
    private final String service;
    private final InetSocketAddress address;
    private final InetSocketAddress controlPlane;
    private final int processorMillis;
    private final int memoryMebibytes;
    private final List<String> labels;
    private final HttpClient http =
            HttpClient.newBuilder().connectTimeout(Duration.ofMillis(500)).build();

    private String id;
    private long born;
    private long bornNanos;
    private long sequence;
    private long endNumber;
    private long highestToken;
    private long leaseEndMillis;
    private boolean up;
    private boolean draining;
    private volatile boolean failsStarts;
    private volatile boolean hangs;
    private volatile boolean busy;
    private long startsWhileBusy;
    private HttpServer server;
    private ExecutorService calls;
    private ScheduledExecutorService timer;
    private final Map<String, Run> running = new LinkedHashMap<>();
    private final TreeMap<Long, End> ends = new TreeMap<>();
    private final Map<String, Integer> endedAttempts = new HashMap<>();

    Minion(
            Deployment deployment,
            String machine,
            String service,
            InetSocketAddress address,
            InetSocketAddress controlPlane,
            int processorMillis,
            int memoryMebibytes,
            List<String> labels) {
        this.deployment = deployment;
        this.machine = machine;
        this.service = service;
        this.address = address;
        this.controlPlane = controlPlane;
        this.processorMillis = processorMillis;
        this.memoryMebibytes = memoryMebibytes;
        this.labels = labels;
    }

    /** Begins a lifetime with a new id. */
    synchronized void start() throws IOException {
        id = "i-" + UUID.randomUUID().toString().substring(0, 8);
        born = System.currentTimeMillis();
        bornNanos = System.nanoTime();
        sequence = 0;
        endNumber = 0;
        highestToken = 0;
        leaseEndMillis = 0;
        running.clear();
        ends.clear();
        endedAttempts.clear();
        draining = false;
        up = true;
        calls = Executors.newCachedThreadPool();
        timer = Executors.newScheduledThreadPool(2);
        server = HttpServer.create(address, 128);
        server.setExecutor(calls);
        server.createContext("/", this::handle);
        server.start();
        timer.scheduleWithFixedDelay(this::beat, 0, HEARTBEAT_MILLIS, TimeUnit.MILLISECONDS);
        timer.scheduleWithFixedDelay(this::advance, 10, 10, TimeUnit.MILLISECONDS);
        deployment.record("minion " + machine + " starts as " + id + " " + labels);
    }

    /** Ends the stand-in at the end of a case. */
    void close() {
        end("");
    }

    /** Ends the lifetime at once; everything that runs is gone and nobody is told. */
    void crash() {
        end("minion " + machine + " crashes");
    }

    private void end(String line) {
        HttpServer closing;
        synchronized (this) {
            if (!up) {
                return;
            }
            up = false;
            if (!line.isEmpty()) {
                deployment.record(line + ", running " + running.keySet());
            }
            running.values().forEach(run -> deployment.gangs().leave(run.task, run.attempt));
            running.clear();
            notifyAll();
            closing = server;
            timer.shutdownNow();
        }
        closing.stop(0);
        calls.shutdownNow();
    }

    /** While set, each run that is started ends as failed after 100 ms. */
    void setFailsStarts(boolean fails) {
        failsStarts = fails;
        deployment.record("minion " + machine + (fails ? " fails all that it starts" : " is well"));
    }

    /** While set, two starts of five are refused with 503, and nothing is done for them. */
    void setBusy(boolean isBusy) {
        busy = isBusy;
        deployment.record("minion " + machine + (isBusy ? " refuses starts" : " is well"));
    }

    /** While set, calls are read and neither answered nor carried out. */
    void setHangs(boolean hanging) {
        hangs = hanging;
        deployment.record(
                "minion " + machine + (hanging ? " leaves orders unanswered" : " answers again"));
    }

    /** Announces the planned end, and returns when it is confirmed. */
    boolean drain(long timeoutMillis) throws InterruptedException {
        synchronized (this) {
            draining = true;
        }
        deployment.record("minion " + machine + " drains");
        long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMillis);
        while (System.nanoTime() < deadline) {
            if (beat()) {
                deployment.record("minion " + machine + " has its draining confirmed");
                return true;
            }
            Thread.sleep(100);
        }
        return false;
    }

    synchronized int usedRuns() {
        return running.size();
    }

    synchronized boolean runs(String taskPrefix) {
        return running.keySet().stream().anyMatch(task -> task.startsWith(taskPrefix));
    }

    synchronized boolean isUp() {
        return up;
    }

    private long clock() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - bornNanos) + 1;
    }

    private boolean beat() {
        ObjectNode body = MAPPER.createObjectNode();
        String target;
        synchronized (this) {
            if (!up) {
                return false;
            }
            body.put("service", service)
                    .put("address", address.getHostString() + ":" + address.getPort())
                    .put("zone", "zone-1")
                    .put("version", "v1")
                    .put("slots", 8)
                    .put("state", draining ? "draining" : "ready")
                    .put("cold_remaining_ms", 0)
                    .put("clock_ms", clock())
                    .put("born", born)
                    .put("sequence", ++sequence);
            if (draining) {
                body.put("remaining_ms", 2_000);
            }
            body.putObject("capacity")
                    .put("cpu", processorMillis)
                    .put("mem_mb", memoryMebibytes)
                    .put("gpu", 0);
            ArrayNode labelNodes = body.putArray("labels");
            labels.forEach(labelNodes::add);
            target = "/api/minions/" + id + "/heartbeat";
        }
        try {
            HttpRequest request =
                    HttpRequest.newBuilder(
                                    URI.create(
                                            "http://"
                                                    + controlPlane.getHostString()
                                                    + ":"
                                                    + controlPlane.getPort()
                                                    + target))
                            .timeout(Duration.ofMillis(CONFIRMATION_MILLIS))
                            .header("Content-Type", "application/json")
                            .POST(HttpRequest.BodyPublishers.ofByteArray(MAPPER.writeValueAsBytes(body)))
                            .build();
            return http.send(request, HttpResponse.BodyHandlers.ofString()).statusCode() / 100 == 2;
        } catch (IOException exception) {
            return false;
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
            return false;
        }
    }

    /** Ends the runs that are due, and all of them once the lease is over. */
    private synchronized void advance() {
        if (!up || running.isEmpty()) {
            return;
        }
        long now = clock();
        if (now > leaseEndMillis) {
            List.copyOf(running.values()).forEach(run -> end(run, "lapsed"));
            return;
        }
        for (Run run : List.copyOf(running.values())) {
            if (failsRun(run)) {
                if (now - run.startedMillis >= 100) {
                    end(run, "failed");
                }
            } else if (run.plan.gangSize() > 1) {
                advanceMember(run, now);
            } else if (!run.plan.lasting() && now - run.startedMillis >= run.plan.durationMillis()) {
                end(run, "done");
            }
        }
    }

    private final java.util.Set<String> failing = new java.util.HashSet<>();

    private boolean failsRun(Run run) {
        return failing.contains(run.task + "/" + run.attempt);
    }

    private void advanceMember(Run run, long now) {
        GangBoard gangs = deployment.gangs();
        if (run.workingFromMillis == 0) {
            if (gangs.isComplete(run.task, run.attempt, run.plan.gangSize())) {
                run.workingFromMillis = now;
            } else if (now - run.startedMillis >= Deployment.GANG_TIMEOUT_MILLIS) {
                end(run, "alone");
            }
        } else if (now - run.workingFromMillis >= run.plan.durationMillis()) {
            end(run, "done");
        } else if (gangs.isBroken(run.task, run.attempt)) {
            end(run, "broken");
        }
    }

    private void end(Run run, String how) {
        running.remove(run.task);
        failing.remove(run.task + "/" + run.attempt);
        ends.put(++endNumber, new End(endNumber, run.task, run.attempt, how));
        endedAttempts.merge(run.task, run.attempt, Math::max);
        if (!how.equals("done")) {
            deployment.gangs().leave(run.task, run.attempt);
        }
        deployment.ended(this, run.task, run.attempt, how);
        notifyAll();
    }

    private void handle(HttpExchange exchange) throws IOException {
        byte[] body = exchange.getRequestBody().readAllBytes();
        if (hangs) {
            return;
        }
        ObjectNode reply = MAPPER.createObjectNode();
        int status;
        try {
            status = carryOut(exchange, MAPPER.readTree(body), reply);
        } catch (InterruptedException exception) {
            return;
        }
        if (status == 0 || hangs) {
            return;
        }
        byte[] bytes = MAPPER.writeValueAsBytes(reply);
        exchange.getResponseHeaders().set("Content-Type", "application/json");
        exchange.sendResponseHeaders(status, bytes.length);
        exchange.getResponseBody().write(bytes);
        exchange.close();
    }

    private synchronized int carryOut(HttpExchange exchange, JsonNode call, ObjectNode reply)
            throws InterruptedException {
        if (!up) {
            return 0;
        }
        String path = exchange.getRequestURI().getPath();
        String expected = exchange.getRequestHeaders().getFirst("X-Yuccabank-Expected-Instance");
        reply.put("clock_ms", clock()).put("born", born);
        if (path.equals("/healthz")) {
            return 200;
        }
        if (expected != null && !expected.equals(id)) {
            return 421;
        }
        long token = call.path("fencing_token").asLong(0);
        if (token < highestToken) {
            reply.put("reason", "fence");
            return 409;
        }
        highestToken = token;
        return switch (path) {
            case "/api/run-start" -> startRun(call, reply);
            case "/api/run-stop" -> stopRun(call);
            case "/api/hold" -> hold(call, reply);
            case "/api/pace" -> 200;
            default -> 404;
        };
    }

    private void extendLease(JsonNode call) {
        if (call.has("deadline_ms")) {
            long granted =
                    Math.min(call.path("deadline_ms").asLong(), clock() + Deployment.HOLD_MAX_MILLIS);
            leaseEndMillis = Math.max(leaseEndMillis, granted);
        }
    }

    private int startRun(JsonNode call, ObjectNode reply) {
        String task = call.path("task").asText();
        int attempt = call.path("attempt").asInt();
        Run present = running.get(task);
        if (present != null && present.attempt == attempt) {
            extendLease(call);
            return 200;
        }
        if (endedAttempts.getOrDefault(task, 0) >= attempt || present != null) {
            extendLease(call);
            reply.put("reason", "old");
            return 409;
        }
        if (busy && startsWhileBusy++ % 5 < 2) {
            deployment.record("minion " + machine + " answers 503 to the start of " + task);
            return 503;
        }
        if (call.path("deadline_ms").asLong(0) <= clock()) {
            reply.put("reason", "late");
            return 409;
        }
        extendLease(call);
        Run run = new Run(task, attempt, deployment.plan(task), clock());
        running.put(task, run);
        if (failsStarts) {
            failing.add(task + "/" + attempt);
        }
        if (run.plan.gangSize() > 1) {
            deployment.gangs().join(task, attempt);
        }
        deployment.started(this, task, attempt);
        return 200;
    }

    private int stopRun(JsonNode call) {
        String task = call.path("task").asText();
        int attempt = call.path("attempt").asInt();
        Run run = running.get(task);
        if (run != null && run.attempt <= attempt) {
            end(run, "stopped");
        }
        endedAttempts.merge(task, attempt, Math::max);
        return 200;
    }

    private int hold(JsonNode call, ObjectNode reply) throws InterruptedException {
        extendLease(call);
        ends.headMap(call.path("ack_seq").asLong(0), true).clear();
        long deadline =
                System.nanoTime()
                        + TimeUnit.MILLISECONDS.toNanos(
                                Math.min(2_000, call.path("wait_ms").asLong(0)));
        while (up && ends.isEmpty() && System.nanoTime() < deadline) {
            wait(Math.max(1, TimeUnit.NANOSECONDS.toMillis(deadline - System.nanoTime())));
        }
        if (!up) {
            return 0;
        }
        reply.put("clock_ms", clock());
        ArrayNode runningNodes = reply.putArray("running");
        for (Run run : running.values()) {
            runningNodes.addArray().add(run.task).add(run.attempt).add("").add(percent(run)).add(run.plan.figure());
        }
        ArrayNode finishedNodes = reply.putArray("finished");
        ends.values().stream()
                .limit(500)
                .forEach(
                        end ->
                                finishedNodes
                                        .addArray()
                                        .add(end.number())
                                        .add(end.task())
                                        .add(end.attempt())
                                        .add(end.how())
                                        .add(""));
        return 200;
    }

    private int percent(Run run) {
        long elapsed = clock() - run.startedMillis;
        if (run.plan.lasting()) {
            return elapsed > 300 ? 100 : 0;
        }
        if (run.plan.gangSize() > 1) {
            elapsed = run.workingFromMillis == 0 ? 0 : clock() - run.workingFromMillis;
        }
        return (int) Math.min(99, 100 * elapsed / Math.max(1, run.plan.durationMillis()));
    }
}
