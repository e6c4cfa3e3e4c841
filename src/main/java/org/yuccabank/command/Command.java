package org.yuccabank.command;

import java.io.PrintStream;
import java.util.List;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;

/**
 * One command of the executable. Implementations hold no state and write results to the given
 * streams only.
 */
public interface Command {

    /**
     * Words that select the command, such as {@code rules check}.
     *
     * @return the name
     */
    String name();

    /**
     * One line that says what the command does.
     *
     * @return the summary
     */
    String summary();

    /**
     * Positional arguments as shown in the usage line, such as {@code FILE}.
     *
     * @return the arguments, empty if there are none
     */
    String arguments();

    /**
     * Options that the command takes; {@code --help} is added to them.
     *
     * @return the options
     */
    Options options();

    /**
     * Complete example command lines shown by {@code --help}.
     *
     * @return the examples
     */
    List<String> examples();

    /**
     * Runs the command.
     *
     * @param line the parsed options and arguments
     * @param output stream for results
     * @param errors stream for messages
     * @return the exit code
     * @throws Exception on an unexpected fault, reported as {@link ExitCode#INTERNAL}
     */
    ExitCode run(CommandLine line, PrintStream output, PrintStream errors) throws Exception;
}
