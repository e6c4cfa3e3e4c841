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

/**
 * Merges the log events of several processes that mention an identifier. Stateless and thread-safe.
 */
final class ExplainCommand implements Command {

    private static final ObjectMapper MAPPER = new ObjectMapper();

    private static final Set<String> HEADER_FIELDS = Set.of("time", "process", "number", "event");

    /** A parsed log line that mentions the identifier. */
    private record LogEvent(Instant time, JsonNode fields) {}

    @Override
    public String name() {
        return "explain";
    }

    @Override
    public String summary() {
        return "Prints the log events of all processes that mention an identifier, ordered by"
                + " time.";
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
            throw new ParseException("an identifier is required");
        }
        String identifier = arguments.get(0);
        List<LogEvent> events = new ArrayList<>();
        if (arguments.size() == 1) {
            InputStreamReader input = new InputStreamReader(System.in, StandardCharsets.UTF_8);
            collect(new BufferedReader(input).lines(), identifier, events);
        }
        for (String file : arguments.subList(1, arguments.size())) {
            try (Stream<String> lines = Files.lines(Path.of(file))) {
                collect(lines, identifier, events);
            }
        }
        events.sort(Comparator.comparing(LogEvent::time));
        if (events.isEmpty()) {
            errors.println("no log event mentions " + identifier);
            return ExitCode.REFUSED;
        }
        print(events, line.hasOption(CommandOptions.JSON), output);
        return ExitCode.SUCCESS;
    }

    /** Collects the matching events; skips lines that are not events, such as stack traces. */
    private static void collect(Stream<String> lines, String identifier, List<LogEvent> events) {
        lines.filter(text -> text.contains(identifier))
                .forEach(text -> parse(text).ifPresent(events::add));
    }

    private static Optional<LogEvent> parse(String text) {
        int start = text.indexOf('{');
        if (start < 0) {
            return Optional.empty();
        }
        try {
            JsonNode node = MAPPER.readTree(text.substring(start));
            return Optional.of(new LogEvent(Instant.parse(node.path("time").asText()), node));
        } catch (JsonProcessingException | DateTimeParseException exception) {
            return Optional.empty();
        }
    }

    private static void print(List<LogEvent> events, boolean json, PrintStream output) {
        int longestGapIndex = indexOfLongestGap(events);
        for (int index = 0; index < events.size(); index++) {
            Duration gap =
                    index == 0
                            ? Duration.ZERO
                            : Duration.between(
                                    events.get(index - 1).time(), events.get(index).time());
            JsonNode fields = events.get(index).fields();
            if (json) {
                ObjectNode copy = fields.deepCopy();
                copy.put("gapMillis", gap.toMillis());
                output.println(
                        CommandJson.serialize(copy.put("longestGap", index == longestGapIndex)));
            } else {
                output.println(formatEvent(fields, gap, index == longestGapIndex));
            }
        }
    }

    private static int indexOfLongestGap(List<LogEvent> events) {
        int longestGapIndex = 0;
        Duration longestGap = Duration.ZERO;
        for (int index = 1; index < events.size(); index++) {
            Duration gap = Duration.between(events.get(index - 1).time(), events.get(index).time());
            if (gap.compareTo(longestGap) > 0) {
                longestGap = gap;
                longestGapIndex = index;
            }
        }
        return longestGapIndex;
    }

    private static String formatEvent(JsonNode fields, Duration gap, boolean longestGap) {
        StringBuilder text = new StringBuilder(fields.path("time").asText());
        text.append(String.format(" +%6d ms", gap.toMillis())).append(longestGap ? " * " : "   ");
        text.append(fields.path("process").asText())
                .append(' ')
                .append(fields.path("event").asText());
        fields.fields()
                .forEachRemaining(
                        field -> {
                            if (!HEADER_FIELDS.contains(field.getKey())) {
                                text.append(' ').append(field.getKey()).append('=');
                                text.append(field.getValue().asText());
                            }
                        });
        return text.toString();
    }
}
