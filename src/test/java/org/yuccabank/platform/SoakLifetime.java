package org.yuccabank.platform;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

/**
 * One lifetime of a stand-in worker: its runs, ends, lease and fencing token.
 *
 * <p>Invariants: ends are numbered from 1; no run is active after the lease, which ends by the
 * worker's own clock; a call with a lower token than the highest one seen changes nothing.
 * Thread-safe.
 */
final class SoakLifetime {

    private static final int MAXIMUM_LISTED_ENDS = 500;

    private final String name;
    private final long born;
    private final Traits traits;
    private final SoakRecord soakRecord;
    private final long startNanos = System.nanoTime();
    private final Map<String, ActiveRun> running = new LinkedHashMap<>();
    private final TreeMap<Long, EndedRun> finished = new TreeMap<>();
    private final Map<String, Long> highestClosedAttempts = new HashMap<>();
    private long lastNumber;
    private long storedNumber;
    private long highestToken;
    private long leaseEndMillis;
    private long lastSequence;
    private long callCount;
    private boolean over;

    /**
     * The properties of a lifetime.
     *
     * @param clockOffsetMillis its clock at its birth
     * @param clockRate rate of its clock
     * @param storesAcknowledgement whether it discards ends up to an acknowledged number that
     *     happen later, too
     * @param maximumLeaseMillis maximum duration of a lease
     */
    record Traits(
            long clockOffsetMillis,
            double clockRate,
            boolean storesAcknowledgement,
            long maximumLeaseMillis) {}

    private record ActiveRun(
            SoakRecord.Run run, String task, long attempt, long start, long work) {}

    private record EndedRun(SoakRecord.Run run, String task, long attempt, String ending) {}

    /** The status and body of a response, and the lifetime that it comes from. */
    record Reply(int status, ObjectNode body, SoakLifetime source) {}

    SoakLifetime(String name, long born, Traits traits, SoakRecord soakRecord) {
        this.name = name;
        this.born = born;
        this.traits = traits;
        this.soakRecord = soakRecord;
        soakRecord.log(name + " born " + born + " " + traits);
    }

    long born() {
        return born;
    }

    /** Returns the number of the next status report. */
    synchronized long nextSequence() {
        return ++lastSequence;
    }

    synchronized long clock() {
        long nanos = (long) ((System.nanoTime() - startNanos) * traits.clockRate());
        return traits.clockOffsetMillis() + TimeUnit.NANOSECONDS.toMillis(nanos);
    }

    /** Ends the lifetime with all its runs. */
    synchronized void crash() {
        advance();
        running.values().forEach(each -> soakRecord.end(each.run(), SoakRecord.LOST_WITH_WORKER));
        running.clear();
        over = true;
        soakRecord.log(name + " crashed");
    }

    /** Ends the runs that have completed or whose lease is over. */
    synchronized void advance() {
        if (over) {
            return;
        }
        for (ActiveRun each : List.copyOf(running.values())) {
            if (clock() - each.start() >= each.work() && clock() < leaseEndMillis) {
                end(each, "done");
            }
        }
        if (leaseEndMillis > 0 && clock() >= leaseEndMillis) {
            soakRecord.log(name + " lease is over, " + running.size() + " runs");
            finished.values().forEach(ended -> soakRecord.lapse(ended.run()));
            List.copyOf(running.values()).forEach(each -> end(each, "lapsed"));
            leaseEndMillis = 0;
        }
    }

    private void end(ActiveRun each, String ending) {
        running.remove(key(each.task(), each.attempt()));
        highestClosedAttempts.merge(each.task(), each.attempt(), Math::max);
        soakRecord.end(each.run(), ending);
        finished.put(++lastNumber, new EndedRun(each.run(), each.task(), each.attempt(), ending));
        discardUpTo(storedNumber);
    }

    private void discardUpTo(long number) {
        while (!finished.isEmpty() && finished.firstKey() <= number) {
            Map.Entry<Long, EndedRun> discarded = finished.pollFirstEntry();
            soakRecord.acknowledge(discarded.getValue().run(), name, discarded.getKey());
        }
    }

    private static String key(String task, long attempt) {
        return task + "#" + attempt;
    }

    /** Carries out a call and returns its response; lists are those of this moment. */
    synchronized Reply handle(String path, JsonFields body, String origin) {
        advance();
        long token = body.nonNegativeLong("fencing_token");
        if (over || token < highestToken) {
            logCall(path, body, origin, "fence");
            return refusal("fence");
        }
        highestToken = token;
        callCount++;
        return switch (path) {
            case "/api/run-start" -> start(body, origin);
            case "/api/run-stop" -> stop(body, origin);
            case "/api/hold" -> hold(body, origin);
            default -> new Reply(200, status(), this);
        };
    }

    private void logCall(String path, JsonFields body, String origin, String outcome) {
        boolean list = path.equals("/api/hold");
        soakRecord.log(
                String.join(
                        " ",
                        name,
                        origin,
                        path,
                        list
                                ? "ack " + body.nonNegativeLong("ack_seq")
                                : key(body.requiredText("task"), body.nonNegativeLong("attempt")),
                        "token " + body.nonNegativeLong("fencing_token"),
                        "deadline " + body.nonNegativeLong("deadline_ms"),
                        "clock " + clock(),
                        outcome));
    }

    private ObjectNode status() {
        return JsonFields.emptyObject().put("clock_ms", clock()).put("born", born);
    }

    private Reply refusal(String reason) {
        return new Reply(409, status().put("reason", reason), this);
    }

    private void extendLease(JsonFields body) {
        long requested = body.nonNegativeLong("deadline_ms");
        if (requested > clock()) {
            long granted = Math.min(requested, clock() + traits.maximumLeaseMillis());
            leaseEndMillis = Math.max(leaseEndMillis, granted);
        }
    }

    private Reply start(JsonFields body, String origin) {
        String task = body.requiredText("task");
        long attempt = body.nonNegativeLong("attempt");
        String outcome = "started";
        if (running.containsKey(key(task, attempt))) {
            outcome = "present";
        } else if (attempt <= highestClosedAttempts.getOrDefault(task, 0L)) {
            outcome = "old";
        } else if (body.nonNegativeLong("deadline_ms") <= clock() && leaseEndMillis == 0) {
            outcome = "late";
        }
        logCall("/api/run-start", body, origin, outcome);
        if (outcome.equals("late")) {
            return refusal(outcome);
        }
        extendLease(body);
        if (outcome.equals("old")) {
            return refusal(outcome);
        }
        if (outcome.equals("started")) {
            long work = Long.parseLong(body.requiredText("spec"));
            SoakRecord.Run run =
                    soakRecord.start(task, attempt, name, origin + " as call " + callCount);
            running.put(key(task, attempt), new ActiveRun(run, task, attempt, clock(), work));
        }
        return new Reply(200, status(), this);
    }

    private Reply stop(JsonFields body, String origin) {
        String task = body.requiredText("task");
        long attempt = body.nonNegativeLong("attempt");
        logCall("/api/run-stop", body, origin, "done");
        highestClosedAttempts.merge(task, attempt, Math::max);
        ActiveRun active = running.get(key(task, attempt));
        if (active != null) {
            end(active, "stopped");
        }
        return new Reply(200, status(), this);
    }

    private Reply hold(JsonFields body, String origin) {
        long acknowledged = body.nonNegativeLong("ack_seq");
        if (acknowledged > 0) {
            logCall("/api/hold", body, origin, "last end " + lastNumber);
        }
        extendLease(body);
        storedNumber = traits.storesAcknowledgement() ? Math.max(storedNumber, acknowledged) : 0;
        discardUpTo(acknowledged);
        return lists();
    }

    synchronized boolean hasEnds() {
        advance();
        return !finished.isEmpty();
    }

    /** Returns both lists. */
    synchronized Reply lists() {
        advance();
        ObjectNode listing = status();
        ArrayNode active = listing.putArray("running");
        for (ActiveRun each : running.values()) {
            long percent = Math.min(99, 100 * (clock() - each.start()) / Math.max(1, each.work()));
            active.addArray().add(each.task()).add(each.attempt()).add("").add(percent).add(7);
        }
        ArrayNode ended = listing.putArray("finished");
        List<Long> numbers = new ArrayList<>(finished.keySet());
        for (long number : numbers.subList(0, Math.min(MAXIMUM_LISTED_ENDS, numbers.size()))) {
            EndedRun each = finished.get(number);
            ended.addArray()
                    .add(number)
                    .add(each.task())
                    .add(each.attempt())
                    .add(each.ending())
                    .add("");
        }
        return new Reply(200, listing, this);
    }

    /** Notes the ends in a list that is sent. */
    void noteListed(ObjectNode listing) {
        listing.path("finished").forEach(row -> soakRecord.listed(name, row.path(0).asLong()));
    }
}
