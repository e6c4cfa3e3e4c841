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
 * A command that sends one request to an entry and prints the response. Immutable and thread-safe.
 *
 * @param name words that select the command
 * @param summary one-line description
 * @param arguments positional arguments
 * @param additionalOptions options besides those of {@link EntryConnection}
 * @param examples example command lines
 * @param requestBuilder builds the request
 * @param renderer formats the JSON response as text
 */
record OperatorCommand(
        String name,
        String summary,
        String arguments,
        Supplier<List<Option>> additionalOptions,
        List<String> examples,
        RequestBuilder requestBuilder,
        Function<JsonNode, String> renderer)
        implements Command {

    /** Builds a request from a command line. */
    @FunctionalInterface
    interface RequestBuilder {
        /**
         * Builds the request.
         *
         * @param line the parsed options and arguments
         * @return the request, or the findings about a file that it needs
         * @throws ParseException if the command line is not valid
         */
        Result<EntryRequest> build(CommandLine line) throws ParseException;
    }

    @Override
    public Options options() {
        Options options = EntryConnection.addOptions(CommandOptions.json());
        additionalOptions.get().forEach(options::addOption);
        return options;
    }

    @Override
    public ExitCode run(CommandLine line, PrintStream output, PrintStream errors)
            throws ParseException {
        Result<EntryRequest> request = requestBuilder.build(line);
        Result<EntryConnection> connection = EntryConnection.of(line);
        if (!request.isSuccess() || !connection.isSuccess()) {
            errors.println(request.findings().append(connection.findings()));
            return ExitCode.REFUSED;
        }
        Optional<EntryResponse> response = connection.get().send(request.get());
        if (response.isEmpty()) {
            errors.println(
                    "no response from "
                            + connection.get().address()
                            + "; to retry safely, add --key "
                            + connection.get().idempotencyKey());
            return ExitCode.UNAVAILABLE;
        }
        print(response.get(), line.hasOption(CommandOptions.JSON), output, errors);
        return response.get().exitCode();
    }

    private void print(
            EntryResponse response, boolean json, PrintStream output, PrintStream errors) {
        if (json) {
            output.println(response.body());
        } else if (response.exitCode() == ExitCode.SUCCESS) {
            output.println(renderer.apply(response.body()));
        } else {
            errors.println(response.problemText());
        }
    }
}
