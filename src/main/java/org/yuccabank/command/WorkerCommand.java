package org.yuccabank.command;

import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.yuccabank.standin.CheckpointStore;
import org.yuccabank.standin.StandInConfiguration;
import org.yuccabank.standin.StandInServer;

/** Runs a stand-in worker with a service instance, for examples and tests. */
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
                .addOption(option("listen", "ADDRESS", "Worker interface.").required().get())
                .addOption(option("announce", "ADDRESS", "Agent to announce the target to.").get())
                .addOption(option("target", "ID", "Identifier of the target.").get())
                .addOption(option("service", "NAME", "Service of the target.").get())
                .addOption(option("kinds", "LIST", "Kinds that it serves, by commas.").get())
                .addOption(option("serve-ms", "N", "Time of a request on an idle host.").get())
                .addOption(
                        option("slowdown", "LIST", "Such as preview:render=0.5, by commas.").get())
                .addOption(option("seed", "N", "Seed of random times.").get())
                .addOption(option("records", "FILE", "File for the records.").get());
    }

    private static Option.Builder option(String name, String argument, String description) {
        return Option.builder().longOpt(name).hasArg().argName(argument).desc(description);
    }

    @Override
    public List<String> examples() {
        return List.of(
                "yuccabank worker --listen 127.0.0.1:7301 --announce 127.0.0.1:7202"
                        + " --target preview-1 --service studio --kinds preview,charge");
    }

    @Override
    public ExitCode run(CommandLine line, PrintStream output, PrintStream errors)
            throws ParseException {
        String announce = line.getOptionValue("announce");
        Optional<InetSocketAddress> agent =
                announce == null ? Optional.empty() : Optional.of(Addresses.parse(announce));
        String kinds = line.getOptionValue("kinds", "");
        StandInConfiguration configuration =
                StandInConfiguration.standard(
                                line.getOptionValue("target", "target-1"),
                                line.getOptionValue("service", "service"),
                                kinds.isEmpty() ? List.of() : List.of(kinds.split(",", -1)),
                                Addresses.parse(line.getOptionValue("listen")),
                                agent)
                        .withTimes(
                                number(line, "serve-ms", 20),
                                slowdowns(line),
                                number(line, "seed", 1));
        String records = line.getOptionValue("records");
        if (records != null) {
            configuration = configuration.withRecordFile(Path.of(records));
        }
        StandInServer server = StandInServer.start(configuration, CheckpointStore.empty());
        output.println("worker listens on " + server.address());
        return RoleProcess.runUntilStopped(
                () -> {
                    server.withdraw();
                    server.stop();
                    return true;
                });
    }

    private static long number(CommandLine line, String name, long otherwise)
            throws ParseException {
        String text = line.getOptionValue(name);
        try {
            return text == null ? otherwise : Long.parseLong(text);
        } catch (NumberFormatException exception) {
            throw new ParseException("--" + name + " needs a whole number, not " + text);
        }
    }

    private static Map<String, Double> slowdowns(CommandLine line) throws ParseException {
        Map<String, Double> result = new HashMap<>();
        String text = line.getOptionValue("slowdown", "");
        for (String part : text.isEmpty() ? new String[0] : text.split(",", -1)) {
            String[] sides = part.split("=", -1);
            try {
                result.put(sides[0], Double.parseDouble(sides[sides.length - 1]));
            } catch (NumberFormatException exception) {
                throw new ParseException("--slowdown needs KIND:KIND=NUMBER, not " + part);
            }
        }
        return result;
    }
}
