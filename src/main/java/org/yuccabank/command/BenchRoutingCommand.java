package org.yuccabank.command;

import java.io.PrintStream;
import java.util.List;
import java.util.Optional;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.yuccabank.bench.routing.RoutingBench;

/** Measures routing of urgent requests in simulated time. Stateless and thread-safe. */
final class BenchRoutingCommand implements Command {

    @Override
    public String name() {
        return "bench routing";
    }

    @Override
    public String summary() {
        return "Measures routing of urgent requests in simulated time.";
    }

    @Override
    public String arguments() {
        return "";
    }

    @Override
    public Options options() {
        return new Options()
                .addOption(option("example", "NAME", "tazzart (default) or ferraglia"))
                .addOption(option("targets", "N", "number of targets, default 11"))
                .addOption(option("entries", "N", "number of entry processes, default 3"))
                .addOption(option("load", "NAME", "load, default steady; see --list"))
                .addOption(option("router", "NAME", "router, default two-choices; see --list"))
                .addOption(option("without", "NAMES", "mechanisms to disable; see --list"))
                .addOption(option("seconds", "N", "simulated time, default depends on targets"))
                .addOption(option("seed", "N", "seed of all random numbers, default 1"))
                .addOption(flag("json", "prints one JSON object per load"))
                .addOption(flag("list", "lists loads, routers and mechanisms"));
    }

    private static Option option(String name, String argument, String description) {
        return Option.builder().longOpt(name).hasArg().argName(argument).desc(description).get();
    }

    private static Option flag(String name, String description) {
        return Option.builder().longOpt(name).desc(description).get();
    }

    @Override
    public List<String> examples() {
        return List.of(
                "yuccabank bench routing --load overload --seed 3 --json",
                "yuccabank bench routing --load steady --router oracle --seed 3",
                "yuccabank bench routing --load silent-target --without hedging,outliers");
    }

    @Override
    public ExitCode run(CommandLine line, PrintStream output, PrintStream errors) {
        if (line.hasOption("list")) {
            RoutingBench.list().forEach(output::println);
            return ExitCode.SUCCESS;
        }
        RoutingBench.Request request;
        try {
            request = request(line);
        } catch (NumberFormatException exception) {
            errors.println("not a number: " + exception.getMessage());
            return ExitCode.USAGE;
        }
        if (request.targets() < 1 || request.entries() < 1 || request.seconds() < 0) {
            errors.println("targets, entries and seconds must be positive");
            return ExitCode.USAGE;
        }
        Optional<String> unknown = RoutingBench.run(request, line.hasOption("json"), output);
        unknown.ifPresent(name -> errors.println("unknown name: " + name + "; see --list"));
        return unknown.isEmpty() ? ExitCode.SUCCESS : ExitCode.USAGE;
    }

    private static RoutingBench.Request request(CommandLine line) {
        String without = line.getOptionValue("without", "");
        return new RoutingBench.Request(
                line.getOptionValue("example", "tazzart"),
                Integer.parseInt(line.getOptionValue("targets", "11")),
                Integer.parseInt(line.getOptionValue("entries", "3")),
                line.getOptionValue("load", "steady"),
                line.getOptionValue("router", "two-choices"),
                without.isEmpty() ? List.of() : List.of(without.split(",", -1)),
                Integer.parseInt(line.getOptionValue("seconds", "0")),
                Long.parseLong(line.getOptionValue("seed", "1")));
    }
}
