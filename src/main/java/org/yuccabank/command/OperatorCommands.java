package org.yuccabank.command;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.handler.codec.http.HttpMethod;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.function.Function;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.ParseException;
import org.yuccabank.result.Result;
import org.yuccabank.result.TextFile;
import org.yuccabank.rules.RulesParser;

/** The operator commands, which send a request to an entry. Stateless and thread-safe. */
final class OperatorCommands {

    private OperatorCommands() {}

    /** Returns all operator commands in help order. */
    static List<Command> all() {
        return List.of(
                rulesApply(),
                rulesShow(),
                rulesHistory(),
                status(),
                jobs("jobs"),
                jobs("jobs list"),
                jobsShow(),
                jobsSubmit(),
                jobsCancel(),
                targets(),
                drain(),
                audit());
    }

    private static Command rulesApply() {
        return new OperatorCommand(
                "rules apply",
                "Validates a rules file and applies it as a new version.",
                "FILE",
                () ->
                        List.of(
                                CommandOptions.value(
                                        "expected-version",
                                        "N",
                                        "Version that the file replaces; 0 if there is none.")),
                List.of(
                        "yuccabank rules apply rules.txt --expected-version 7",
                        "yuccabank rules apply rules.txt --expected-version 0 --token-file token"),
                OperatorCommands::applyRequest,
                body -> "version " + body.path("version").asText() + " is accepted");
    }

    private static Result<EntryRequest> applyRequest(CommandLine line) throws ParseException {
        String file = singleArgument(line, "FILE");
        String expected = line.getOptionValue("expected-version", "");
        if (!expected.matches("[0-9]{1,18}")) {
            throw new ParseException("--expected-version N is required; see yuccabank rules show");
        }
        return TextFile.read(Path.of(file), RulesParser.MAXIMUM_LENGTH)
                .flatMap(text -> RulesParser.parse(text, file).map(rules -> text))
                .map(
                        text ->
                                EntryRequest.of(HttpMethod.PUT, "/v1/rules", text)
                                        .withHeader("Content-Type", "text/plain; charset=utf-8")
                                        .withHeader("If-Match", "\"" + expected + "\""));
    }

    private static Command rulesShow() {
        return new OperatorCommand(
                "rules show",
                "Prints the current rules, or an earlier version, as a rules file.",
                "",
                () -> List.of(CommandOptions.value("version", "N", "Version to show.")),
                List.of("yuccabank rules show", "yuccabank rules show --version 3 > rules-3.txt"),
                line -> {
                    requireNoArguments(line);
                    String version = line.getOptionValue("version");
                    if (version != null && !version.matches("[0-9]{1,18}")) {
                        throw new ParseException("--version must be a number");
                    }
                    String query = version == null ? "" : "?version=" + version;
                    return Result.success(EntryRequest.get("/v1/rules" + query));
                },
                OperatorCommands::formatRules);
    }

    private static String formatRules(JsonNode body) {
        return "# version "
                + body.path("version").asText()
                + ", accepted "
                + TextTable.formatCell(body, "acceptedAtMillis")
                + ", applied by "
                + TextTable.formatCell(body, "author")
                + System.lineSeparator()
                + body.path("text").asText().stripTrailing();
    }

    private static Command rulesHistory() {
        return queryCommand(
                "rules history",
                "Lists the versions of the rules with their authors.",
                "/v1/rules/history",
                body ->
                        TextTable.render(
                                body.path("versions"),
                                "version",
                                "acceptedAtMillis",
                                "author",
                                "bytes"));
    }

    private static Command status() {
        return queryCommand(
                "status",
                "Shows the control group, hosts and the rules version of each process.",
                "/v1/status",
                OperatorCommands::formatStatus);
    }

    private static String formatStatus(JsonNode body) {
        String newline = System.lineSeparator();
        String heading =
                "rules version "
                        + TextTable.formatCell(body, "configurationVersion")
                        + ", leader "
                        + TextTable.formatCell(body, "leader")
                        + " in term "
                        + TextTable.formatCell(body, "term")
                        + ", tasks: "
                        + TextTable.formatCell(body, "runningTasks")
                        + " running, "
                        + TextTable.formatCell(body, "queuedTasks")
                        + " queued";
        String members = TextTable.render(body.path("members"), "replicaId", "address", "voter");
        String processes =
                TextTable.render(
                        body.path("processes"),
                        "processId",
                        "role",
                        "configurationVersion",
                        "inForce",
                        "lastSeenMillisAgo");
        String hosts =
                TextTable.render(
                        body.path("hosts"),
                        "host",
                        "dataCentre",
                        "rack",
                        "state",
                        "tasks",
                        "capacity.processorMillis",
                        "reserved.processorMillis",
                        "usage.processorMillis");
        return String.join(newline + newline, heading, members, processes, hosts);
    }

    private static Command jobs(String name) {
        return queryCommand(
                name,
                "Lists jobs, newest first.",
                "/v1/jobs",
                body ->
                        TextTable.render(
                                body.path("jobs"),
                                "job",
                                "account",
                                "kind",
                                "state",
                                "finishedTasks",
                                "tasks",
                                "submittedAtMillis",
                                "reason"));
    }

    private static Command jobsShow() {
        return new OperatorCommand(
                "jobs show",
                "Shows a job with its tasks.",
                "JOB",
                List::of,
                List.of("yuccabank jobs show job-12"),
                line ->
                        Result.success(
                                EntryRequest.get(
                                        "/v1/jobs/"
                                                + encodePathSegment(singleArgument(line, "JOB")))),
                OperatorCommands::formatJob);
    }

    private static String formatJob(JsonNode body) {
        JsonNode rows = CommandJson.array().add(body);
        String job = TextTable.render(rows, "job", "account", "kind", "state", "reason");
        String tasks =
                TextTable.render(
                        body.path("taskStates"),
                        "task",
                        "state",
                        "progress",
                        "checkpointGeneration",
                        "starts",
                        "evictions",
                        "host");
        return job + System.lineSeparator() + System.lineSeparator() + tasks;
    }

    private static Command jobsSubmit() {
        return new OperatorCommand(
                "jobs submit",
                "Submits a batch job.",
                "",
                OperatorCommands::jobOptions,
                List.of(
                        "yuccabank jobs submit --kind render --processor-millis 2000"
                                + " --memory-mebibytes 4096 --run-ms 60000 --checkpointable"),
                OperatorCommands::submitRequest,
                body -> "job " + TextTable.formatCell(body, "job") + " is accepted");
    }

    private static List<Option> jobOptions() {
        return List.of(
                CommandOptions.value("kind", "KIND", "Kind of work."),
                CommandOptions.value("tasks", "N", "Number of tasks; 1 by default."),
                CommandOptions.value("processor-millis", "N", "Thousandths of a core per task."),
                CommandOptions.value("memory-mebibytes", "N", "Memory per task in MiB."),
                CommandOptions.value("accelerators", "N", "Accelerators per task; 0 by default."),
                CommandOptions.value("run-ms", "N", "Expected run time of a task in ms."),
                CommandOptions.value("priority", "N", "1 (lowest) to 9; 1 by default."),
                CommandOptions.flag("checkpointable", "Tasks can write checkpoints."));
    }

    private static Result<EntryRequest> submitRequest(CommandLine line) throws ParseException {
        requireNoArguments(line);
        if (!line.hasOption("kind")) {
            throw new ParseException("--kind KIND is required");
        }
        ObjectNode resources =
                CommandJson.object()
                        .put("processorMillis", parseNumber(line, "processor-millis", null))
                        .put("memoryMebibytes", parseNumber(line, "memory-mebibytes", null))
                        .put("accelerators", parseNumber(line, "accelerators", "0"));
        ObjectNode job =
                CommandJson.object()
                        .put("kind", line.getOptionValue("kind"))
                        .put("tasks", parseNumber(line, "tasks", "1"))
                        .put("runMillis", parseNumber(line, "run-ms", null))
                        .put("priority", parseNumber(line, "priority", "1"))
                        .put("checkpointable", line.hasOption("checkpointable"));
        job.set("resources", resources);
        String body = CommandJson.serialize(job);
        return Result.success(
                EntryRequest.of(HttpMethod.POST, "/v1/jobs", body)
                        .withHeader("Content-Type", "application/json"));
    }

    private static long parseNumber(CommandLine line, String name, String defaultValue)
            throws ParseException {
        String text = line.getOptionValue(name, defaultValue);
        if (text == null || !text.matches("[0-9]{1,15}")) {
            throw new ParseException("--" + name + " must be a non-negative integer");
        }
        return Long.parseLong(text);
    }

    private static Command jobsCancel() {
        return new OperatorCommand(
                "jobs cancel",
                "Cancels a job and stops its tasks.",
                "JOB",
                List::of,
                List.of("yuccabank jobs cancel job-12"),
                line ->
                        Result.success(
                                EntryRequest.of(
                                        HttpMethod.DELETE,
                                        "/v1/jobs/"
                                                + encodePathSegment(singleArgument(line, "JOB")),
                                        "")),
                body -> "cancellation is accepted");
    }

    private static Command targets() {
        return queryCommand(
                "targets",
                "Lists the announced targets.",
                "/v1/targets",
                body ->
                        TextTable.render(
                                body.path("targets"),
                                "target",
                                "service",
                                "host",
                                "dataCentre",
                                "state",
                                "slotsUsed",
                                "slots",
                                "connections"));
    }

    private static Command drain() {
        return new OperatorCommand(
                "drain",
                "Stops assigning new work to a host, or resumes it with --undo.",
                "HOST",
                () -> List.of(CommandOptions.flag("undo", "Resumes assigning work to the host.")),
                List.of("yuccabank drain host-3", "yuccabank drain host-3 --undo"),
                line -> {
                    HttpMethod method =
                            line.hasOption("undo") ? HttpMethod.DELETE : HttpMethod.POST;
                    String path =
                            "/v1/hosts/"
                                    + encodePathSegment(singleArgument(line, "HOST"))
                                    + "/drain";
                    return Result.success(EntryRequest.of(method, path, ""));
                },
                body -> "change is accepted; see yuccabank status");
    }

    private static Command audit() {
        return queryCommand(
                "audit",
                "Lists audit records of changes, newest first.",
                "/v1/audit",
                body ->
                        TextTable.render(
                                body.path("audit"),
                                "index",
                                "atMillis",
                                "account",
                                "action",
                                "verdict",
                                "detail"));
    }

    private static Command queryCommand(
            String name, String summary, String path, Function<JsonNode, String> renderer) {
        return new OperatorCommand(
                name,
                summary,
                "",
                List::of,
                List.of(
                        "yuccabank " + name,
                        "yuccabank " + name + " --entry 10.1.0.21:7400 --token-file token --json"),
                line -> {
                    requireNoArguments(line);
                    return Result.success(EntryRequest.get(path));
                },
                renderer);
    }

    private static String singleArgument(CommandLine line, String argument) throws ParseException {
        if (line.getArgList().size() != 1) {
            throw new ParseException("exactly one " + argument + " is required");
        }
        return line.getArgList().get(0);
    }

    private static void requireNoArguments(CommandLine line) throws ParseException {
        if (!line.getArgList().isEmpty()) {
            throw new ParseException("unexpected argument " + line.getArgList().get(0));
        }
    }

    private static String encodePathSegment(String segment) {
        return URLEncoder.encode(segment, StandardCharsets.UTF_8).replace("+", "%20");
    }
}
