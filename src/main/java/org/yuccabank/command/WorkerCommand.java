package org.yuccabank.command;

import java.io.PrintStream;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.yuccabank.result.Result;
import org.yuccabank.settings.Settings;
import org.yuccabank.settings.WorkerSettings;
import org.yuccabank.standin.CheckpointStore;
import org.yuccabank.standin.StandInConfiguration;
import org.yuccabank.standin.StandInServer;

/** Runs a stand-in worker with a target, for examples and tests. Stateless and thread-safe. */
final class WorkerCommand implements Command {

    @Override
    public String name() {
        return "worker";
    }

    @Override
    public String summary() {
        return "Runs a stand-in worker and target, for examples and tests.";
    }

    @Override
    public String arguments() {
        return "";
    }

    @Override
    public Options options() {
        return new Options()
                .addOption(CommandOptions.value("settings", "FILE", "Settings of the worker."))
                .addOption(CommandOptions.settingOverrideOption())
                .addOption(
                        CommandOptions.value(
                                "kinds", "LIST", "Comma-separated kinds of work to serve."))
                .addOption(
                        CommandOptions.value(
                                "serve-ms", "N", "Service time of a request on an idle host."))
                .addOption(
                        CommandOptions.value(
                                "slowdown",
                                "LIST",
                                "Slowdowns by kind pair, such as preview:render=0.5."))
                .addOption(CommandOptions.value("seed", "N", "Seed of the random service times."))
                .addOption(
                        CommandOptions.value(
                                "records", "FILE", "File to which run records are written."));
    }

    @Override
    public List<String> examples() {
        return List.of(
                "yuccabank worker --settings worker.toml --kinds preview,charge",
                "yuccabank worker --settings worker.toml --slowdown preview:encode=1.5"
                        + " --records records.jsonl");
    }

    @Override
    public ExitCode run(CommandLine line, PrintStream output, PrintStream errors)
            throws ParseException {
        String file = line.getOptionValue("settings");
        if (file == null) {
            throw new ParseException("--settings FILE is required");
        }
        Result<WorkerSettings> settings =
                Settings.worker(Path.of(file), CommandOptions.overrides(line));
        if (!settings.isSuccess()) {
            errors.println(settings.findings());
            return ExitCode.REFUSED;
        }
        StandInConfiguration configuration = configuration(settings.get(), line);
        StandInServer server = StandInServer.start(configuration, CheckpointStore.empty());
        output.println("worker listens on " + server.address());
        return RoleProcess.runUntilStopped(
                () -> {
                    server.withdraw();
                    server.stop();
                    return true;
                });
    }

    private static StandInConfiguration configuration(WorkerSettings settings, CommandLine line)
            throws ParseException {
        String kinds = line.getOptionValue("kinds", "");
        StandInConfiguration configuration =
                StandInConfiguration.withDefaults(
                                settings.process().processId(),
                                settings.service(),
                                kinds.isEmpty() ? List.of() : List.of(kinds.split(",", -1)),
                                settings.httpAddress(),
                                Optional.of(settings.agentAddress()))
                        .withCapacity(
                                settings.capacity(),
                                StandInConfiguration.DEFAULT_SERVICE_RESERVATION)
                        .withTimes(
                                parseNumber(line, "serve-ms", 20),
                                parseSlowdowns(line),
                                parseNumber(line, "seed", 1));
        String records = line.getOptionValue("records");
        if (records != null) {
            configuration = configuration.withRecordFile(Path.of(records));
        }
        return configuration;
    }

    private static long parseNumber(CommandLine line, String name, long defaultValue)
            throws ParseException {
        String text = line.getOptionValue(name);
        try {
            return text == null ? defaultValue : Long.parseLong(text);
        } catch (NumberFormatException exception) {
            throw new ParseException("--" + name + " must be an integer, not " + text);
        }
    }

    private static Map<String, Double> parseSlowdowns(CommandLine line) throws ParseException {
        Map<String, Double> result = new HashMap<>();
        String text = line.getOptionValue("slowdown", "");
        for (String assignment : text.isEmpty() ? new String[0] : text.split(",", -1)) {
            String[] keyAndValue = assignment.split("=", -1);
            try {
                result.put(keyAndValue[0], Double.parseDouble(keyAndValue[keyAndValue.length - 1]));
            } catch (NumberFormatException exception) {
                throw new ParseException("--slowdown must be KIND:KIND=NUMBER, not " + assignment);
            }
        }
        return result;
    }
}
