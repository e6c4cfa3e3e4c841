package org.yuccabank.command;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.PrintStream;
import java.util.List;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.yuccabank.verify.Verification;

/** Verifies the replication protocol in seeded simulations. Stateless and thread-safe. */
final class VerifyCommand implements Command {

    private static final String SCHEDULES = "schedules";
    private static final String SEED = "seed";
    private static final String JSON = "json";
    private static final long DEFAULT_SCHEDULES = 1_000;
    private static final long MAXIMUM_SCHEDULES = 10_000_000;

    @Override
    public String name() {
        return "verify";
    }

    @Override
    public String summary() {
        return "Verifies the replication protocol with seeded fault schedules.";
    }

    @Override
    public String arguments() {
        return "";
    }

    @Override
    public Options options() {
        return new Options()
                .addOption(numberOption(SCHEDULES, "Number of schedules, by default 1000."))
                .addOption(numberOption(SEED, "Seed of the first schedule, by default 1."))
                .addOption(Option.builder().longOpt(JSON).desc("Prints one JSON object.").get());
    }

    private static Option numberOption(String name, String description) {
        return Option.builder().longOpt(name).hasArg().argName("N").desc(description).get();
    }

    @Override
    public List<String> examples() {
        return List.of(
                "yuccabank verify --schedules 20000 --seed 1",
                "yuccabank verify --schedules 1 --seed 4711 --json");
    }

    @Override
    public ExitCode run(CommandLine line, PrintStream output, PrintStream errors)
            throws ParseException, JsonProcessingException {
        long schedules = parseNumber(line, SCHEDULES, DEFAULT_SCHEDULES);
        if (schedules < 1 || schedules > MAXIMUM_SCHEDULES) {
            throw new ParseException(
                    "--schedules must be from 1 to " + MAXIMUM_SCHEDULES + ", not " + schedules);
        }
        Verification.Report report = Verification.run(schedules, parseNumber(line, SEED, 1));
        if (line.hasOption(JSON)) {
            output.println(new ObjectMapper().writeValueAsString(report));
        } else {
            printReport(report, output);
        }
        return report.violationCount() == 0 ? ExitCode.SUCCESS : ExitCode.REFUSED;
    }

    private static long parseNumber(CommandLine line, String option, long defaultValue)
            throws ParseException {
        String text = line.getOptionValue(option, Long.toString(defaultValue));
        try {
            return Long.parseLong(text);
        } catch (NumberFormatException exception) {
            throw new ParseException("--" + option + " " + text + " is not an integer");
        }
    }

    private static void printReport(Verification.Report report, PrintStream output) {
        output.println("schedules tried: " + report.schedules());
        output.println("client operations: " + report.operations());
        output.println("terms with a leader: " + report.leaders());
        output.println("faults injected:");
        report.faults().forEach((fault, count) -> output.printf("  %-24s %d%n", fault, count));
        output.println("violations: " + report.violationCount());
        for (Verification.Finding violation : report.violations()) {
            output.println("  " + violation.property() + ": " + violation.detail());
            output.println("    reproduce with: " + violation.replay());
        }
    }
}
