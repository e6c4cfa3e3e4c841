package org.yuccabank.command;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import org.testng.annotations.Test;

/** Tests command selection and help of the command line. */
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

    /**
     * Guards against a success exit code for an unknown command, which would hide typing errors.
     */
    @Test
    public void shouldRejectUnknownCommand() {
        assertEquals(run("no-such-command"), ExitCode.USAGE);
        assertTrue(errors.toString(StandardCharsets.UTF_8).contains("no-such-command"));
    }

    /** Guards against new commands without examples or missing from the overview. */
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
