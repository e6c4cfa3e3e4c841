package org.yuccabank.command;

import java.util.concurrent.CountDownLatch;
import java.util.function.BooleanSupplier;

/** Runs a role until the process is asked to end. */
final class RoleProcess {

    private RoleProcess() {}

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
