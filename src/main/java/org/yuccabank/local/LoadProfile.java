package org.yuccabank.local;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import org.tomlj.Toml;
import org.tomlj.TomlArray;
import org.tomlj.TomlParseResult;
import org.tomlj.TomlTable;
import org.yuccabank.model.Resources;
import org.yuccabank.result.Finding;
import org.yuccabank.result.Findings;
import org.yuccabank.result.Result;
import org.yuccabank.result.SourcePosition;

/**
 * Deployment and load of an example, read from its {@code load.toml}. Immutable.
 *
 * @param service name of the service
 * @param dataCentres data centres, to which hosts and entries are assigned in turn
 * @param hosts number of hosts
 * @param hostsPerRack number of hosts in a rack
 * @param entries number of entries
 * @param capacity capacity of a host
 * @param serviceReservation resources of a host that its service instance reserves
 * @param slots requests that an instance runs concurrently
 * @param connections requests that an instance holds at most, running or queued
 * @param serveMillis service time of a request on an idle host
 * @param urgent streams of urgent requests
 * @param atMostOnce streams of requests that run at most once
 * @param batch streams of jobs
 * @param slowdowns share by which a task of the second kind slows down the first, by key {@code
 *     FIRST:SECOND}
 * @param accounts accounts that send requests in turn
 */
public record LoadProfile(
        String service,
        List<String> dataCentres,
        int hosts,
        int hostsPerRack,
        int entries,
        Resources capacity,
        Resources serviceReservation,
        int slots,
        int connections,
        long serveMillis,
        List<RequestStream> urgent,
        List<RequestStream> atMostOnce,
        List<JobStream> batch,
        Map<String, Double> slowdowns,
        List<String> accounts) {

    /** Copies the collections. */
    public LoadProfile {
        dataCentres = List.copyOf(dataCentres);
        urgent = List.copyOf(urgent);
        atMostOnce = List.copyOf(atMostOnce);
        batch = List.copyOf(batch);
        slowdowns = Map.copyOf(slowdowns);
        accounts = List.copyOf(accounts);
    }

    /**
     * A stream of requests.
     *
     * @param kind kind of work
     * @param requestsPerSecond rate of requests
     * @param bodyBytes size of the body
     */
    public record RequestStream(String kind, double requestsPerSecond, int bodyBytes) {}

    /**
     * A stream of jobs.
     *
     * @param kind kind of work
     * @param jobsPerSecond rate of jobs
     * @param tasks number of tasks in a job
     * @param declared declared resources of a task
     * @param runMillis declared run time of a task
     * @param checkpointable whether tasks can write checkpoints
     */
    public record JobStream(
            String kind,
            double jobsPerSecond,
            int tasks,
            Resources declared,
            long runMillis,
            boolean checkpointable) {}

    /**
     * Returns the kinds of requests that the instances serve.
     *
     * @return the kinds
     */
    public List<String> servedKinds() {
        List<String> kinds = new ArrayList<>();
        urgent.forEach(stream -> kinds.add(stream.kind()));
        atMostOnce.forEach(stream -> kinds.add(stream.kind()));
        return kinds;
    }

    /**
     * Parses a profile.
     *
     * @param text contents of the file
     * @param source name of the file, for findings
     * @return the profile, or the findings
     */
    public static Result<LoadProfile> parse(String text, String source) {
        TomlParseResult toml = Toml.parse(text);
        if (toml.hasErrors()) {
            return Result.failure(syntaxFindings(toml, source));
        }
        try {
            return Result.success(read(toml));
        } catch (RuntimeException exception) {
            // The TOML library throws on keys of the wrong type, with a message that names the key.
            return Result.failure(SourcePosition.ofSource(source), exception.getMessage());
        }
    }

    private static Findings syntaxFindings(TomlParseResult toml, String source) {
        return new Findings(
                toml.errors().stream()
                        .map(
                                error ->
                                        new Finding(
                                                new SourcePosition(
                                                        source,
                                                        error.position().line(),
                                                        error.position().column()),
                                                error.getMessage()))
                        .toList());
    }

    private static LoadProfile read(TomlTable toml) {
        Map<String, Double> slowdowns = new LinkedHashMap<>();
        TomlTable slowdownTable = toml.getTableOrEmpty("slowdown");
        for (String key : slowdownTable.keySet()) {
            slowdowns.put(key, slowdownTable.getDouble(List.of(key)));
        }
        return new LoadProfile(
                required(toml, "service", toml.getString("service")),
                strings(toml, "data_centres"),
                integer(toml, "hosts"),
                integer(toml, "hosts_per_rack"),
                integer(toml, "entries"),
                Resources.of(
                        integer(toml, "processor_millis"), integer(toml, "memory_mebibytes"), 0),
                Resources.of(
                        integer(toml, "service_processor_millis"),
                        integer(toml, "service_memory_mebibytes"),
                        0),
                integer(toml, "slots"),
                integer(toml, "connections"),
                integer(toml, "serve_ms"),
                tables(toml, "urgent", LoadProfile::requestStream),
                tables(toml, "at_most_once", LoadProfile::requestStream),
                tables(toml, "batch", LoadProfile::jobStream),
                slowdowns,
                strings(toml, "accounts.names"));
    }

    private static RequestStream requestStream(TomlTable table) {
        return new RequestStream(
                required(table, "kind", table.getString("kind")),
                rate(table, "requests_per_second"),
                integer(table, "body_bytes"));
    }

    private static JobStream jobStream(TomlTable table) {
        return new JobStream(
                required(table, "kind", table.getString("kind")),
                rate(table, "jobs_per_second"),
                integer(table, "tasks"),
                Resources.of(
                        integer(table, "processor_millis"), integer(table, "memory_mebibytes"), 0),
                integer(table, "run_ms"),
                Boolean.TRUE.equals(table.getBoolean("checkpointable")));
    }

    private static <T> List<T> tables(TomlTable toml, String key, Function<TomlTable, T> reader) {
        TomlArray array = toml.getArrayOrEmpty(key);
        List<T> result = new ArrayList<>();
        for (int index = 0; index < array.size(); index++) {
            result.add(reader.apply(array.getTable(index)));
        }
        return result;
    }

    private static List<String> strings(TomlTable toml, String key) {
        TomlArray array = required(toml, key, toml.getArray(key));
        return array.toList().stream().map(Object::toString).toList();
    }

    private static int integer(TomlTable toml, String key) {
        return Math.toIntExact(required(toml, key, toml.getLong(key)));
    }

    private static double rate(TomlTable toml, String key) {
        Object value = required(toml, key, toml.get(key));
        if (value instanceof Number number) {
            return number.doubleValue();
        }
        throw new IllegalArgumentException(key + " must be a number, not " + value);
    }

    private static <T> T required(TomlTable toml, String key, T value) {
        if (value == null) {
            throw new IllegalArgumentException(
                    "key " + key + " is missing" + (toml.isEmpty() ? " in an empty table" : ""));
        }
        return value;
    }
}
