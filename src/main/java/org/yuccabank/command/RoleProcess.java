package org.yuccabank.command;

import java.io.PrintStream;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import java.util.function.BooleanSupplier;
import java.util.function.Function;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Option;
import org.yuccabank.result.Findings;

/** Runs a role until the process is asked to end. */
final class RoleProcess {

    private static final String SETTINGS = "settings";

    private RoleProcess() {}

    /**
     * Calls a function with the settings file that the command line names.
     *
     * @param line the command line
     * @param errors stream for messages
     * @param function runs the role
     * @return the exit code, {@link ExitCode#USAGE} without a file
     */
    static ExitCode withSettingsFile(
            CommandLine line, PrintStream errors, Function<Path, ExitCode> function) {
        String file = line.getOptionValue(SETTINGS);
        if (file == null) {
            errors.println("--settings FILE is missing");
            return ExitCode.USAGE;
        }
        return function.apply(Path.of(file));
    }

    /** The option that names the settings file. */
    static Option settingsFile() {
        return CommandOptions.value(SETTINGS, "FILE", "Settings of the process.");
    }

    /**
     * Prints why a role cannot start.
     *
     * @param findings all faults
     * @param errors stream for messages
     * @return {@link ExitCode#REFUSED}
     */
    static ExitCode reportFindings(Findings findings, PrintStream errors) {
        errors.println(findings);
        return ExitCode.REFUSED;
    }

    /**
     * Waits for SIGTERM or SIGINT, stops the role and ends the process: with {@link
     * ExitCode#SUCCESS} if the stop was complete, else with {@link ExitCode#DRAIN_TIMEOUT}.
     *
     * @param stop stops the role; false if its drain time ended first
     * @return never normally, as the process ends in the shutdown hook
     */
    static ExitCode runUntilStopped(BooleanSupplier stop) {
        Thread hook =
                new Thread(
                        () -> {
                            ExitCode code =
                                    stop.getAsBoolean() ? ExitCode.SUCCESS : ExitCode.DRAIN_TIMEOUT;
                            // A JVM that ends by a signal exits with 128 + signal, which would
                            // read as a failure of a complete stop.
                            Runtime.getRuntime().halt(code.number());
                        },
                        "stop");
        Runtime.getRuntime().addShutdownHook(hook);
        try {
            new CountDownLatch(1).await();
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        }
        return ExitCode.SUCCESS;
    }
}
