package org.yuccabank.command;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;

/** Renders JSON objects as lines with aligned columns. Thread-safe, as it has no state. */
final class TextTable {

    private static final String COLUMN_SEPARATOR = "  ";

    private TextTable() {}

    /**
     * Renders rows.
     *
     * @param rows JSON array of objects
     * @param fields fields shown as columns; a dot leads into an inner object
     * @return the table with a heading, or a line that says that there are no rows
     */
    static String render(JsonNode rows, String... fields) {
        if (rows.isEmpty()) {
            return "none";
        }
        List<List<String>> cells = new ArrayList<>();
        cells.add(List.of(fields).stream().map(TextTable::columnHeading).toList());
        rows.forEach(
                row ->
                        cells.add(
                                List.of(fields).stream()
                                        .map(field -> formatCell(row, field))
                                        .toList()));
        int[] widths = new int[fields.length];
        for (List<String> line : cells) {
            for (int column = 0; column < widths.length; column++) {
                widths[column] = Math.max(widths[column], line.get(column).length());
            }
        }
        return cells.stream()
                .map(line -> alignColumns(line, widths))
                .collect(Collectors.joining(System.lineSeparator()));
    }

    private static String columnHeading(String field) {
        return field.substring(field.lastIndexOf('.') + 1).replaceAll("Millis$", "");
    }

    /** Text of a field; fields that end in {@code AtMillis} hold points in time. */
    static String formatCell(JsonNode row, String field) {
        JsonNode value = row.at("/" + field.replace('.', '/'));
        if (value.isMissingNode()) {
            return "-";
        }
        boolean isTimestamp = field.endsWith("AtMillis") || field.equals("atMillis");
        if (isTimestamp && value.asLong() > 0) {
            return Instant.ofEpochMilli(value.asLong()).toString();
        }
        return replaceControlCharacters(value.asText());
    }

    /** Replaces control characters, which could change what a terminal shows. */
    static String replaceControlCharacters(String text) {
        return text.replaceAll("\\p{Cntrl}", "?");
    }

    private static String alignColumns(List<String> line, int[] widths) {
        StringBuilder text = new StringBuilder();
        for (int column = 0; column < widths.length; column++) {
            String cell = line.get(column);
            text.append(cell)
                    .append(" ".repeat(widths[column] - cell.length()))
                    .append(COLUMN_SEPARATOR);
        }
        return text.toString().stripTrailing();
    }
}
