package org.yuccabank.command;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.time.Instant;
import java.time.format.DateTimeParseException;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;

/** Collects what the logs of many processes say about one identifier. Has no state. */
final class ExplainCommand implements Command {

    private static final ObjectMapper MAPPER = new ObjectMapper();

    private static final Set<String> HEADINGS = Set.of("time", "process", "number", "event");

    /** A line of a log about the identifier. */
    private record Entry(Instant time, JsonNode line) {}

    @Override
    public String name() {
        return "explain";
    }

    @Override
    public String summary() {
        return "Prints what the logs of all processes say about one identifier, in order of time.";
    }

    @Override
    public String arguments() {
        return "ID [FILE...]";
    }

    @Override
    public Options options() {
        return CommandOptions.json();
    }

    @Override
    public List<String> examples() {
        return List.of(
                "yuccabank explain 5c0e7a21d94b36f8 control-1.log control-2.log entry-1.log",
                "cat *.log | yuccabank explain --json 5c0e7a21d94b36f8");
    }

    @Override
    public ExitCode run(CommandLine line, PrintStream output, PrintStream errors)
            throws ParseException, IOException {
        List<String> arguments = line.getArgList();
        if (arguments.isEmpty()) {
            throw new ParseException("an identifier is needed");
        }
        String identifier = arguments.get(0);
        List<Entry> entries = new ArrayList<>();
        if (arguments.size() == 1) {
            InputStreamReader input = new InputStreamReader(System.in, StandardCharsets.UTF_8);
            collect(new BufferedReader(input).lines(), identifier, entries);
        }
        for (String file : arguments.subList(1, arguments.size())) {
            try (Stream<String> lines = Files.lines(Path.of(file))) {
                collect(lines, identifier, entries);
            }
        }
        entries.sort(Comparator.comparing(Entry::time));
        if (entries.isEmpty()) {
            errors.println("no line names " + identifier);
            return ExitCode.REFUSED;
        }
        print(entries, line.hasOption(CommandOptions.JSON), output);
        return ExitCode.SUCCESS;
    }

    /** Lines that are no events, such as stack traces, are passed over. */
    private static void collect(Stream<String> lines, String identifier, List<Entry> entries) {
        lines.filter(text -> text.contains(identifier))
                .forEach(text -> parse(text).ifPresent(entries::add));
    }

    private static Optional<Entry> parse(String text) {
        int start = text.indexOf('{');
        if (start < 0) {
            return Optional.empty();
        }
        try {
            JsonNode node = MAPPER.readTree(text.substring(start));
            return Optional.of(new Entry(Instant.parse(node.path("time").asText()), node));
        } catch (JsonProcessingException | DateTimeParseException exception) {
            return Optional.empty();
        }
    }

    private static void print(List<Entry> entries, boolean json, PrintStream output) {
        int longest = longestGap(entries);
        for (int index = 0; index < entries.size(); index++) {
            Duration gap =
                    index == 0
                            ? Duration.ZERO
                            : Duration.between(
                                    entries.get(index - 1).time(), entries.get(index).time());
            JsonNode line = entries.get(index).line();
            if (json) {
                ObjectNode copy = line.deepCopy();
                copy.put("gapMillis", gap.toMillis());
                output.println(CommandJson.line(copy.put("longestGap", index == longest)));
            } else {
                output.println(text(line, gap, index == longest));
            }
        }
    }

    private static int longestGap(List<Entry> entries) {
        int longest = 0;
        Duration most = Duration.ZERO;
        for (int index = 1; index < entries.size(); index++) {
            Duration gap =
                    Duration.between(entries.get(index - 1).time(), entries.get(index).time());
            if (gap.compareTo(most) > 0) {
                most = gap;
                longest = index;
            }
        }
        return longest;
    }

    private static String text(JsonNode line, Duration gap, boolean longest) {
        StringBuilder text = new StringBuilder(line.path("time").asText());
        text.append(String.format(" +%6d ms", gap.toMillis())).append(longest ? " * " : "   ");
        text.append(line.path("process").asText()).append(' ').append(line.path("event").asText());
        line.fields()
                .forEachRemaining(
                        field -> {
                            if (!HEADINGS.contains(field.getKey())) {
                                text.append(' ').append(field.getKey()).append('=');
                                text.append(field.getValue().asText());
                            }
                        });
        return text.toString();
    }
}
