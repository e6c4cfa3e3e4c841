package org.yuccabank.command;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.PrintStream;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;
import java.util.function.Supplier;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.yuccabank.result.Result;

/**
 * A command that sends one request to an entry and shows the answer. Immutable and safe for use by
 * several threads.
 *
 * @param name words that select the command
 * @param summary what it does
 * @param arguments positional arguments
 * @param extraOptions options besides those of the connection
 * @param examples example command lines
 * @param request builds the request
 * @param rendering turns the JSON answer into text
 */
record OperatorCommand(
        String name,
        String summary,
        String arguments,
        Supplier<List<Option>> extraOptions,
        List<String> examples,
        RequestBuilder request,
        Function<JsonNode, String> rendering)
        implements Command {

    /** Builds the request of a command line. */
    @FunctionalInterface
    interface RequestBuilder {
        /**
         * Builds the request.
         *
         * @param line the parsed options and arguments
         * @return the request, or what is wrong with a file that it needs
         * @throws ParseException if the command line is wrong
         */
        Result<EntryRequest> build(CommandLine line) throws ParseException;
    }

    @Override
    public Options options() {
        Options options = EntryConnection.addOptions(CommandOptions.json());
        extraOptions.get().forEach(options::addOption);
        return options;
    }

    @Override
    public ExitCode run(CommandLine line, PrintStream output, PrintStream errors)
            throws ParseException {
        Result<EntryRequest> built = request.build(line);
        Result<EntryConnection> connection = EntryConnection.of(line);
        if (!built.isSuccess() || !connection.isSuccess()) {
            errors.println(built.findings().append(connection.findings()));
            return ExitCode.REFUSED;
        }
        Optional<EntryAnswer> answer = connection.get().send(built.get());
        if (answer.isEmpty()) {
            errors.println(
                    "no answer from "
                            + connection.get().address()
                            + "; to try again, add --key "
                            + connection.get().key());
            return ExitCode.UNAVAILABLE;
        }
        print(answer.get(), line.hasOption(CommandOptions.JSON), output, errors);
        return answer.get().exitCode();
    }

    private void print(EntryAnswer answer, boolean json, PrintStream output, PrintStream errors) {
        if (json) {
            output.println(answer.body());
        } else if (answer.exitCode() == ExitCode.SUCCESS) {
            output.println(rendering.apply(answer.body()));
        } else {
            errors.println(answer.problem());
        }
    }
}
