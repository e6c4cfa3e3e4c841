package org.yuccabank.command;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.handler.codec.http.HttpMethod;
import java.io.IOException;
import java.io.InputStream;
import java.io.PrintStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.yuccabank.local.EntryClient;
import org.yuccabank.local.LoadDriver;
import org.yuccabank.local.LoadProfile;
import org.yuccabank.local.LocalDeployment;
import org.yuccabank.local.WorkerRecordSummary;
import org.yuccabank.result.Result;
import reactor.core.publisher.Mono;

/** Runs an example deployment in one process under its load profile. Stateless and thread-safe. */
final class LocalCommand implements Command {

    private static final Duration READY_TIMEOUT = Duration.ofSeconds(30);
    private static final Duration READY_POLL_INTERVAL = Duration.ofMillis(100);
    private static final double MICROS_PER_MILLI = 1_000.0;

    @Override
    public String name() {
        return "local";
    }

    @Override
    public String summary() {
        return "Runs an example deployment in one process under its load profile.";
    }

    @Override
    public String arguments() {
        return "";
    }

    @Override
    public Options options() {
        return CommandOptions.json()
                .addOption(CommandOptions.value("example", "NAME", "tazzart or ferraglia."))
                .addOption(
                        CommandOptions.value(
                                "duration", "TIME", "Duration of the load, such as 20s."));
    }

    @Override
    public List<String> examples() {
        return List.of(
                "yuccabank local --example tazzart --duration 20s",
                "yuccabank local --example ferraglia --duration 60s --json");
    }

    @Override
    public ExitCode run(CommandLine line, PrintStream output, PrintStream errors)
            throws IOException {
        String example = line.getOptionValue("example", "tazzart");
        Optional<Duration> duration = parseDuration(line.getOptionValue("duration", "20s"));
        Optional<String> load = readResource(example, "load.toml");
        Optional<String> rules = readResource(example, "rules.txt");
        if (duration.isEmpty()) {
            errors.println("--duration must be a number of seconds such as 20s");
            return ExitCode.USAGE;
        }
        if (load.isEmpty() || rules.isEmpty()) {
            errors.println("unknown example " + example + "; available are tazzart and ferraglia");
            return ExitCode.USAGE;
        }
        Result<LoadProfile> profile =
                LoadProfile.parse(load.get(), "examples/" + example + "/load.toml");
        if (!profile.isSuccess()) {
            return RoleProcess.reportFindings(profile.findings(), errors);
        }
        Path directory = Files.createTempDirectory("yuccabank-local");
        try {
            ObjectNode report = run(example, profile.get(), rules.get(), duration.get(), directory);
            print(report, line.hasOption(CommandOptions.JSON), output);
            return ExitCode.SUCCESS;
        } finally {
            deleteRecursively(directory);
        }
    }

    private static Optional<Duration> parseDuration(String text) {
        return text.matches("[1-9]\\d{0,5}s?")
                ? Optional.of(Duration.ofSeconds(Long.parseLong(text.replace("s", ""))))
                : Optional.empty();
    }

    private static Optional<String> readResource(String example, String file) throws IOException {
        if (!example.matches("[a-z-]{1,40}")) {
            return Optional.empty();
        }
        String name = "/examples/" + example + "/" + file;
        try (InputStream stream = LocalCommand.class.getResourceAsStream(name)) {
            return stream == null
                    ? Optional.empty()
                    : Optional.of(new String(stream.readAllBytes(), StandardCharsets.UTF_8));
        }
    }

    private static ObjectNode run(
            String example, LoadProfile profile, String rules, Duration duration, Path directory) {
        LocalDeployment deployment =
                LocalDeployment.of(profile, directory, RoleConfigurations::placement);
        deployment.start();
        EntryClient client = EntryClient.of(deployment.entryAddresses());
        try {
            awaitReady(client, profile);
            applyRules(client, rules);
            String runId = Long.toString(System.currentTimeMillis());
            LoadDriver driver = LoadDriver.of(profile, client, runId);
            driver.run(duration);
            long finishedJobs = driver.awaitJobs();
            return report(example, duration, profile, deployment, driver.counts(), finishedJobs);
        } finally {
            client.stop();
            deployment.stop();
        }
    }

    private static void awaitReady(EntryClient client, LoadProfile profile) {
        long deadlineNanos = System.nanoTime() + READY_TIMEOUT.toNanos();
        String readyState = "\"state\":\"ready\"";
        int entries = profile.entries();
        int consecutiveReady = 0;
        while (consecutiveReady < entries) {
            EntryClient.Response response =
                    client.send(HttpMethod.GET, "/v1/targets", Map.of(), "").block();
            boolean allReady = response.body().split(readyState, -1).length - 1 >= profile.hosts();
            consecutiveReady = allReady ? consecutiveReady + 1 : 0;
            if (System.nanoTime() > deadlineNanos) {
                throw new IllegalStateException(
                        "targets did not become ready in time: " + response.body());
            }
            Mono.delay(READY_POLL_INTERVAL).block();
        }
    }

    private static void applyRules(EntryClient client, String rules) {
        EntryClient.Response response =
                client.send(HttpMethod.PUT, "/v1/rules", Map.of("If-Match", "\"0\""), rules)
                        .block();
        if (response.status() != 200) {
            throw new IllegalStateException("rules were refused: " + response.body());
        }
        Mono.delay(Duration.ofSeconds(2)).block();
    }

    private static ObjectNode report(
            String example,
            Duration duration,
            LoadProfile profile,
            LocalDeployment deployment,
            LoadDriver.Counts counts,
            long finishedJobs) {
        Set<String> atMostOnce =
                profile.atMostOnce().stream()
                        .map(LoadProfile.RequestStream::kind)
                        .collect(Collectors.toSet());
        WorkerRecordSummary summary =
                WorkerRecordSummary.of(
                        deployment.workers().stream()
                                .map(server -> server.worker().records().all())
                                .toList(),
                        atMostOnce);
        ObjectNode node =
                CommandJson.object()
                        .put("example", example)
                        .put("durationSeconds", duration.toSeconds())
                        .put("served", counts.served())
                        .put("late", counts.late())
                        .put("evicted", summary.evicted())
                        .put("refused", counts.refused() + counts.jobsRefused())
                        .put("unknown", counts.unknown())
                        .put("mismatched", counts.mismatched())
                        .put("submitted", counts.jobsSubmitted())
                        .put("finished", finishedJobs)
                        .put("runTwice", summary.runTwice());
        node.putObject("latencyMillis")
                .put("p50", percentileMillis(counts, 50))
                .put("p99", percentileMillis(counts, 99))
                .put("p999", percentileMillis(counts, 99.9));
        return node;
    }

    private static double percentileMillis(LoadDriver.Counts counts, double percentile) {
        return counts.latencyMicros().getValueAtPercentile(percentile) / MICROS_PER_MILLI;
    }

    private static void print(ObjectNode report, boolean json, PrintStream output) {
        if (json) {
            output.println(report);
            return;
        }
        report.properties()
                .forEach(field -> output.printf("%-16s %s%n", field.getKey(), field.getValue()));
    }

    private static void deleteRecursively(Path directory) {
        try (Stream<Path> files = Files.walk(directory)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(file);
            }
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        }
    }
}
