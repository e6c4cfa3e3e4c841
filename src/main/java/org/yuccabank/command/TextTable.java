package org.yuccabank.command;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;

/** Renders JSON objects as a text table with aligned columns. Stateless and thread-safe. */
final class TextTable {

    private static final String COLUMN_SEPARATOR = "  ";

    private TextTable() {}

    /**
     * Renders a table.
     *
     * @param rows JSON array of objects
     * @param fields fields shown as columns; a dot separates the names of nested fields
     * @return the table with a header row, or {@code none} if there are no rows
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

    /** Returns the text of a field; fields whose names end in {@code AtMillis} are timestamps. */
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

    /** Replaces control characters, as a terminal could interpret them as escape sequences. */
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
