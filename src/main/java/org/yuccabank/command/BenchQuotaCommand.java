package org.yuccabank.command;

import java.io.PrintStream;
import java.util.List;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.yuccabank.bench.routing.QuotaBench;

/** Measures quota enforcement for many accounts in simulated time. Stateless and thread-safe. */
final class BenchQuotaCommand implements Command {

    private static final String WITHOUT_PREEMPTION = "without-preemption";

    @Override
    public String name() {
        return "bench quota";
    }

    @Override
    public String summary() {
        return "Measures how quotas divide hosts among accounts; prints JSON.";
    }

    @Override
    public String arguments() {
        return "";
    }

    @Override
    public Options options() {
        return new Options()
                .addOption(option("accounts", "number of accounts, default 290"))
                .addOption(option("hosts", "number of hosts, default 200"))
                .addOption(option("seed", "seed of all random numbers, default 1"))
                .addOption(
                        Option.builder()
                                .longOpt(WITHOUT_PREEMPTION)
                                .desc("disables preemption of tasks on borrowed capacity")
                                .get());
    }

    private static Option option(String name, String description) {
        return Option.builder().longOpt(name).hasArg().argName("N").desc(description).get();
    }

    @Override
    public List<String> examples() {
        return List.of(
                "yuccabank bench quota --seed 3", "yuccabank bench quota --without-preemption");
    }

    @Override
    public ExitCode run(CommandLine line, PrintStream output, PrintStream errors) {
        try {
            int accounts = Integer.parseInt(line.getOptionValue("accounts", "290"));
            int hosts = Integer.parseInt(line.getOptionValue("hosts", "200"));
            long seed = Long.parseLong(line.getOptionValue("seed", "1"));
            if (accounts < 2 || hosts < 1) {
                errors.println("at least 2 accounts and 1 host are required");
                return ExitCode.USAGE;
            }
            boolean preemptionEnabled = !line.hasOption(WITHOUT_PREEMPTION);
            output.println(QuotaBench.run(accounts, hosts, preemptionEnabled, seed));
            return ExitCode.SUCCESS;
        } catch (NumberFormatException exception) {
            errors.println("not a number: " + exception.getMessage());
            return ExitCode.USAGE;
        }
    }
}
