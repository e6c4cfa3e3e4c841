package org.yuccabank.result;

import java.util.Objects;

/**
 * Position in an external source, such as a rules file. Immutable.
 *
 * @param source name of the file or argument
 * @param line line number, starting at 1, or 0 for the whole source
 * @param column column number, starting at 1, or 0 for the whole line
 */
public record SourcePosition(String source, int line, int column) {

    /** Validates the components. */
    public SourcePosition {
        Objects.requireNonNull(source, "source is null");
        if (line < 0 || column < 0) {
            throw new IllegalArgumentException(
                    "line and column must not be negative: " + line + ", " + column);
        }
    }

    /**
     * Creates a position that denotes the whole source.
     *
     * @param source name of the source
     * @return the position
     */
    public static SourcePosition ofSource(String source) {
        return new SourcePosition(source, 0, 0);
    }

    @Override
    public String toString() {
        return line == 0 ? source : source + ":" + line + ":" + column;
    }
}
