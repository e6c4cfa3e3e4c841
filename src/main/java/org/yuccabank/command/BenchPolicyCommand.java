package org.yuccabank.command;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import java.io.PrintStream;
import java.util.List;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.yuccabank.bench.BenchOptions;
import org.yuccabank.bench.BenchResult;
import org.yuccabank.bench.BenchRun;
import org.yuccabank.result.Result;

/** Measures a scheduling policy in a simulation with a seeded load. Stateless and thread-safe. */
final class BenchPolicyCommand implements Command {

    private static final String DEFAULT_WORKERS = "11";

    @Override
    public String name() {
        return "bench policy";
    }

    @Override
    public String summary() {
        return "Measures a scheduling policy in a discrete-time simulation with a seeded load.";
    }

    @Override
    public String arguments() {
        return "";
    }

    @Override
    public Options options() {
        return new Options()
                .addOption(option("example", "NAME", "Deployment: tazzart (default), ferraglia."))
                .addOption(option("workers", "N", "Number of hosts, 11 by default."))
                .addOption(option("load", "NAME", "Load, steady by default; see --list."))
                .addOption(option("policy", "NAME", "Policy, default by default; see --list."))
                .addOption(option("seed", "N", "Seed of all random numbers, 1 by default."))
                .addOption(
                        option("duration-seconds", "N", "Simulated time; 300 or 180 s by default."))
                .addOption(
                        Option.builder().longOpt("json").desc("Prints one line of JSON.").build())
                .addOption(
                        Option.builder()
                                .longOpt("list")
                                .desc("Lists the loads and policies.")
                                .build());
    }

    private static Option option(String name, String argument, String description) {
        return Option.builder().longOpt(name).hasArg().argName(argument).desc(description).build();
    }

    @Override
    public List<String> examples() {
        return List.of(
                "yuccabank bench policy --example tazzart --workers 11 --load noisy-waves"
                        + " --policy default --seed 1 --json",
                "yuccabank bench policy --list");
    }

    @Override
    public ExitCode run(CommandLine line, PrintStream output, PrintStream errors)
            throws JsonProcessingException {
        if (line.hasOption("list")) {
            output.println("loads: " + String.join(" ", BenchRun.loads()));
            output.println("policies: " + String.join(" ", BenchRun.policies()));
            return ExitCode.SUCCESS;
        }
        BenchOptions options;
        try {
            options = parse(line);
        } catch (IllegalArgumentException exception) {
            errors.println(exception.getMessage() + "; see yuccabank bench policy --help");
            return ExitCode.USAGE;
        }
        Result<BenchResult> result = BenchRun.run(options);
        if (!result.isSuccess()) {
            errors.println(result.findings());
            return ExitCode.USAGE;
        }
        ObjectMapper mapper = new ObjectMapper();
        if (!line.hasOption("json")) {
            mapper.enable(SerializationFeature.INDENT_OUTPUT);
        }
        output.println(mapper.writeValueAsString(result.get()));
        return ExitCode.SUCCESS;
    }

    private static BenchOptions parse(CommandLine line) {
        int workers = (int) parseNumber(line, "workers", DEFAULT_WORKERS);
        String duration = Integer.toString(BenchOptions.defaultDurationSeconds(workers));
        return new BenchOptions(
                line.getOptionValue("example", "tazzart"),
                workers,
                line.getOptionValue("load", "steady"),
                line.getOptionValue("policy", "default"),
                parseNumber(line, "seed", "1"),
                (int) parseNumber(line, "duration-seconds", duration));
    }

    private static long parseNumber(CommandLine line, String option, String defaultValue) {
        String value = line.getOptionValue(option, defaultValue);
        try {
            return Long.parseLong(value);
        } catch (NumberFormatException exception) {
            throw new IllegalArgumentException(
                    "--" + option + " must be an integer, not " + value, exception);
        }
    }
}
