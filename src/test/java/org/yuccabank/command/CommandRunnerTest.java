package org.yuccabank.command;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import org.testng.annotations.Test;

/** Checks how the command line selects commands. */
public final class CommandRunnerTest {

    private final ByteArrayOutputStream output = new ByteArrayOutputStream();
    private final ByteArrayOutputStream errors = new ByteArrayOutputStream();

    private ExitCode run(String... arguments) {
        return CommandRunner.of(Commands.all())
                .run(
                        arguments,
                        new PrintStream(output, true, StandardCharsets.UTF_8),
                        new PrintStream(errors, true, StandardCharsets.UTF_8));
    }

    /** Guards against an unknown command that ends with success. */
    @Test
    public void shouldRefuseUnknownCommand() {
        assertEquals(run("no-such-command"), ExitCode.USAGE);
        assertTrue(errors.toString(StandardCharsets.UTF_8).contains("no-such-command"));
    }

    /** Guards against commands that are missing from the overview or have no examples. */
    @Test
    public void shouldListEveryCommandWithExamples() {
        assertEquals(run("--help"), ExitCode.SUCCESS);
        String overview = output.toString(StandardCharsets.UTF_8);
        for (Command command : Commands.all()) {
            assertTrue(overview.contains(command.name()), command.name());
            assertTrue(!command.examples().isEmpty(), command.name());
        }
    }
}
