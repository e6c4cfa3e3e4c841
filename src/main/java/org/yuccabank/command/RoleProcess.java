package org.yuccabank.command;

import java.io.PrintStream;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import java.util.function.BooleanSupplier;
import java.util.function.Function;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Option;
import org.yuccabank.result.Findings;

/** Runs a role until the process receives a termination signal. */
final class RoleProcess {

    private static final String SETTINGS = "settings";

    private RoleProcess() {}

    /**
     * Calls a function with the settings file given on the command line.
     *
     * @param line the command line
     * @param errors stream for error messages
     * @param function runs the role
     * @return the exit code of the function, {@link ExitCode#USAGE} if no file is given
     */
    static ExitCode withSettingsFile(
            CommandLine line, PrintStream errors, Function<Path, ExitCode> function) {
        String file = line.getOptionValue(SETTINGS);
        if (file == null) {
            errors.println("--settings FILE is required");
            return ExitCode.USAGE;
        }
        return function.apply(Path.of(file));
    }

    /** Creates the option {@code --settings FILE}. */
    static Option settingsFileOption() {
        return CommandOptions.value(SETTINGS, "FILE", "Settings of the process.");
    }

    /**
     * Prints the findings that prevent the start of a role.
     *
     * @param findings the findings
     * @param errors stream for error messages
     * @return {@link ExitCode#REFUSED}
     */
    static ExitCode reportFindings(Findings findings, PrintStream errors) {
        errors.println(findings);
        return ExitCode.REFUSED;
    }

    /**
     * Waits for SIGTERM or SIGINT, stops the role and exits the process: with {@link
     * ExitCode#SUCCESS} after a complete stop, otherwise with {@link ExitCode#DRAIN_TIMEOUT}.
     *
     * @param stop stops the role; returns false if the drain timeout expired first
     * @return does not return normally, as the shutdown hook halts the process
     */
    static ExitCode runUntilStopped(BooleanSupplier stop) {
        Thread hook =
                new Thread(
                        () -> {
                            ExitCode code =
                                    stop.getAsBoolean() ? ExitCode.SUCCESS : ExitCode.DRAIN_TIMEOUT;
                            // Without halt(), a JVM terminated by a signal exits with 128 + the
                            // signal number, which would report a complete stop as a failure.
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
