import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.function.Function;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Stand-in for a minion as PROTOCOL.md describes it. It guards neither its capacity nor the number
 * of its tasks. Every start and every end goes into the record.
 */
final class Minion {

    /** A run that this minion has begun. */
    static final class Run {
        final String minion;
        final String task;
        final int attempt;
        final long startedAt;
        final long lengthMillis;
        long endedAt = Long.MAX_VALUE;
        String how = "";

        /** Whether the end was taken note of, which is when ack_seq reached it. */
        volatile boolean noted;

        Run(String minion, String task, int attempt, long startedAt, long lengthMillis) {
            this.minion = minion;
            this.task = task;
            this.attempt = attempt;
            this.startedAt = startedAt;
            this.lengthMillis = lengthMillis;
        }
    }

    private record End(long number, Run run) {}

    private static final long CLOCK_START = 100_000;
    private static final long HOLD_MAX_MILLIS = 10_000;
    private static final long HEARTBEAT_MILLIS = 1_100;

    final String id;
    final String agentAddress;
    private final String address;
    private final String zone;
    private final String service;
    private final Record record;
    private final Function<String, Long> lengthOf;
    private final HttpServer server;
    private final ExecutorService threads =
            Executors.newCachedThreadPool(
                    task -> {
                        Thread thread = new Thread(task);
                        thread.setDaemon(true);
                        return thread;
                    });
    private final Map<String, Run> running = new LinkedHashMap<>();
    private final List<End> finished = new ArrayList<>();
    private final Map<String, Integer> closedAttempts = new HashMap<>();
    private final long born = System.currentTimeMillis();
    private final long bornNanos = System.nanoTime();
    private long lastNumber;
    private long token;
    private long leaseEnd;
    private long sequence;
    private volatile boolean draining;
    private volatile boolean up = true;

    /** While set, no call is answered and no status report is sent, as behind a cut. */
    volatile boolean cutOff;

    /** Called for each start order; returns whether the order was taken care of. */
    interface StartFault {
        boolean apply(HttpExchange exchange, String task, int attempt, Runnable carryOut)
                throws IOException;
    }

    volatile StartFault startFault;

    Minion(
            String id,
            String address,
            String agentAddress,
            String zone,
            String service,
            Record record,
            Function<String, Long> lengthOf)
            throws IOException {
        this.id = id;
        this.address = address;
        this.agentAddress = agentAddress;
        this.zone = zone;
        this.service = service;
        this.record = record;
        this.lengthOf = lengthOf;
        int colon = address.indexOf(':');
        server =
                HttpServer.create(
                        new InetSocketAddress(
                                address.substring(0, colon),
                                Integer.parseInt(address.substring(colon + 1))),
                        256);
        server.setExecutor(threads);
        server.createContext("/", this::handle);
        server.start();
        threads.execute(this::heartbeats);
        threads.execute(this::work);
    }

    long clock() {
        return CLOCK_START + (System.nanoTime() - bornNanos) / 1_000_000;
    }

    // Status reports

    private void heartbeats() {
        while (up) {
            int status = cutOff ? 200 : sendHeartbeat();
            if (status != 200) {
                record.line("minion " + id + " status report answered " + status);
            }
            Record.sleep(HEARTBEAT_MILLIS);
        }
    }

    int sendHeartbeat() {
        long number;
        synchronized (this) {
            number = ++sequence;
        }
        return Http.call(
                        "POST",
                        agentAddress,
                        "/api/minions/" + id + "/heartbeat",
                        heartbeat(service, address, zone, draining, clock(), number, born),
                        1_000)
                .status();
    }

    static String heartbeat(
            String service,
            String address,
            String zone,
            boolean draining,
            long clock,
            long sequence,
            long born) {
        return "{\"service\":\""
                + service
                + "\",\"address\":\""
                + address
                + "\",\"zone\":\""
                + zone
                + "\",\"version\":\"v1\",\"slots\":8,\"state\":\""
                + (draining ? "draining" : "ready")
                + "\",\"cold_remaining_ms\":0,\"capacity\":{\"cpu\":16000,\"mem_mb\":64000,\"gpu\":0},"
                + "\"labels\":[\"a\",\"r1-1\"],\"clock_ms\":"
                + clock
                + ",\"sequence\":"
                + sequence
                + ",\"born\":"
                + born
                + (draining ? ",\"remaining_ms\":2000" : "")
                + "}";
    }

    int drain() {
        draining = true;
        return sendHeartbeat();
    }

    /** Sends one deregister call and returns the status, 0 without an answer within a second. */
    int deregister() {
        return Http.call(
                        "POST",
                        agentAddress,
                        "/api/minions/" + id + "/deregister",
                        "{\"born\":" + born + "}",
                        1_000)
                .status();
    }

    /** Ends this lifetime: all that runs is terminated. */
    void end(String why) {
        up = false;
        server.stop(0);
        synchronized (this) {
            for (Run run : running.values()) {
                close(run, why);
            }
            running.clear();
            notifyAll();
        }
        record.line("minion " + id + " has ended: " + why);
    }

    // Runs

    private void work() {
        while (up) {
            synchronized (this) {
                long now = System.nanoTime() / 1_000_000;
                boolean lapsed = clock() > leaseEnd;
                boolean changed = false;
                for (Iterator<Run> runs = running.values().iterator(); runs.hasNext(); ) {
                    Run run = runs.next();
                    String how =
                            lapsed
                                    ? "lapsed"
                                    : now - run.startedAt >= run.lengthMillis ? "done" : "";
                    if (!how.isEmpty()) {
                        runs.remove();
                        list(run, how);
                        changed = true;
                    }
                }
                if (changed) {
                    notifyAll();
                }
            }
            Record.sleep(5);
        }
    }

    private void list(Run run, String how) {
        close(run, how);
        closedAttempts.merge(run.task, run.attempt, Math::max);
        finished.add(new End(++lastNumber, run));
    }

    private void close(Run run, String how) {
        run.endedAt = System.nanoTime() / 1_000_000;
        run.how = how;
        record.line("minion " + id + " run " + run.task + "#" + run.attempt + " ended " + how);
    }

    // Calls of the agent

    private void handle(HttpExchange exchange) throws IOException {
        String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
        if (cutOff) {
            return;
        }
        String expected = exchange.getRequestHeaders().getFirst("X-Yuccabank-Expected-Instance");
        if (expected != null && !expected.equals(id)) {
            answer(exchange, 421, status(""));
            return;
        }
        switch (exchange.getRequestURI().getPath()) {
            case "/api/run-start" -> start(exchange, body);
            case "/api/run-stop" -> answer(exchange, stop(body));
            case "/api/hold" -> hold(exchange, body);
            case "/api/pace" -> answer(exchange, 200, status(""));
            default -> answer(exchange, 200, status(""));
        }
    }

    private String status(String more) {
        return "{\"clock_ms\":" + clock() + ",\"born\":" + born + more + "}";
    }

    private void start(HttpExchange exchange, String body) throws IOException {
        String task = text(body, "task");
        int attempt = (int) number(body, "attempt");
        StartFault fault = startFault;
        if (fault != null
                && fault.apply(exchange, task, attempt, () -> carryOut(body, "late start"))) {
            return;
        }
        String refusal = carryOut(body, "start");
        answer(
                exchange,
                refusal.isEmpty() ? 200 : 409,
                status(refusal.isEmpty() ? "" : ",\"reason\":\"" + refusal + "\""));
    }

    private synchronized String carryOut(String body, String word) {
        String task = text(body, "task");
        int attempt = (int) number(body, "attempt");
        String refusal = "";
        if (!up) {
            refusal = "down";
        } else if (number(body, "fencing_token") < token) {
            refusal = "fence";
        } else {
            token = number(body, "fencing_token");
            extendLease(number(body, "deadline_ms"));
            Run present = running.get(task);
            if (present != null && present.attempt == attempt) {
                return "";
            }
            boolean closed = attempt <= closedAttempts.getOrDefault(task, 0);
            if (closed || (present != null && attempt < present.attempt)) {
                refusal = "old";
            } else if (number(body, "deadline_ms") <= clock()) {
                refusal = "late";
            }
        }
        record.line(
                "minion "
                        + id
                        + " "
                        + word
                        + " "
                        + task
                        + "#"
                        + attempt
                        + (refusal.isEmpty() ? " begins" : " refused " + refusal));
        if (refusal.isEmpty()) {
            Run run =
                    new Run(
                            id,
                            task,
                            attempt,
                            System.nanoTime() / 1_000_000,
                            lengthOf.apply(text(body, "spec")));
            running.put(task, run);
            record.runs.add(run);
        }
        return refusal;
    }

    private synchronized String stop(String body) {
        if (number(body, "fencing_token") < token) {
            return "fence";
        }
        token = number(body, "fencing_token");
        String task = text(body, "task");
        int attempt = (int) number(body, "attempt");
        closedAttempts.merge(task, attempt, Math::max);
        Run run = running.get(task);
        if (run != null && run.attempt == attempt) {
            running.remove(task);
            list(run, "stopped");
            notifyAll();
        }
        return "";
    }

    private void extendLease(long deadline) {
        leaseEnd = Math.max(leaseEnd, Math.min(deadline, clock() + HOLD_MAX_MILLIS));
    }

    private void hold(HttpExchange exchange, String body) throws IOException {
        String answer;
        synchronized (this) {
            if (number(body, "fencing_token") < token) {
                answer = "";
            } else {
                token = number(body, "fencing_token");
                extendLease(number(body, "deadline_ms"));
                long acknowledged = number(body, "ack_seq");
                for (End end : finished) {
                    end.run().noted |= end.number() <= acknowledged;
                }
                finished.removeIf(end -> end.number() <= acknowledged);
                long until = System.nanoTime() / 1_000_000 + number(body, "wait_ms");
                long left = until - System.nanoTime() / 1_000_000;
                while (finished.isEmpty() && left > 0 && up) {
                    try {
                        wait(left);
                    } catch (InterruptedException exception) {
                        Thread.currentThread().interrupt();
                        return;
                    }
                    left = until - System.nanoTime() / 1_000_000;
                }
                answer = status(lists());
            }
        }
        if (answer.isEmpty()) {
            answer(exchange, "fence");
        } else {
            answer(exchange, 200, answer);
        }
    }

    private String lists() {
        StringBuilder rows = new StringBuilder();
        long now = System.nanoTime() / 1_000_000;
        for (Run run : running.values()) {
            long percent =
                    run.lengthMillis == Long.MAX_VALUE
                            ? 100
                            : Math.min(99, 100 * (now - run.startedAt) / run.lengthMillis);
            rows.append(rows.length() == 0 ? "" : ",")
                    .append("[\"" + run.task + "\"," + run.attempt + ",\"\"," + percent + ",100]");
        }
        StringBuilder ends = new StringBuilder();
        for (End end : finished) {
            ends.append(ends.length() == 0 ? "" : ",")
                    .append("[" + end.number() + ",\"" + end.run().task + "\",")
                    .append(end.run().attempt + ",\"" + end.run().how + "\",\"\"]");
        }
        return ",\"running\":[" + rows + "],\"finished\":[" + ends + "]";
    }

    private void answer(HttpExchange exchange, String refusal) throws IOException {
        answer(
                exchange,
                refusal.isEmpty() ? 200 : 409,
                status(refusal.isEmpty() ? "" : ",\"reason\":\"" + refusal + "\""));
    }

    void answer(HttpExchange exchange, int code, String body) throws IOException {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        exchange.getResponseHeaders().set("Content-Type", "application/json");
        exchange.sendResponseHeaders(code, bytes.length);
        exchange.getResponseBody().write(bytes);
        exchange.close();
    }

    private static String text(String body, String name) {
        Matcher matcher = Pattern.compile("\"" + name + "\":\"([^\"]*)\"").matcher(body);
        return matcher.find() ? matcher.group(1) : "";
    }

    private static long number(String body, String name) {
        Matcher matcher = Pattern.compile("\"" + name + "\":(-?[0-9]+)").matcher(body);
        return matcher.find() ? Long.parseLong(matcher.group(1)) : 0;
    }
}
