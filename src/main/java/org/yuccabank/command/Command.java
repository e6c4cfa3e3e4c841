package org.yuccabank.command;

import java.io.PrintStream;
import java.util.List;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;

/**
 * One command of the executable. Implementations are stateless and write only to the given streams.
 */
public interface Command {

    /**
     * Returns the words that select the command, such as {@code rules check}.
     *
     * @return the name
     */
    String name();

    /**
     * Returns a one-line description of the command.
     *
     * @return the summary
     */
    String summary();

    /**
     * Returns the positional arguments as shown in the usage line, such as {@code FILE}.
     *
     * @return the arguments, empty if there are none
     */
    String arguments();

    /**
     * Returns the options of the command, without {@code --help}, which every command accepts.
     *
     * @return the options
     */
    Options options();

    /**
     * Returns complete example command lines, which {@code --help} shows.
     *
     * @return the examples
     */
    List<String> examples();

    /**
     * Runs the command.
     *
     * @param line the parsed options and arguments
     * @param output stream for results
     * @param errors stream for error messages
     * @return the exit code
     * @throws Exception on an unexpected error, reported as {@link ExitCode#INTERNAL}
     */
    ExitCode run(CommandLine line, PrintStream output, PrintStream errors) throws Exception;
}
