package org.yuccabank.result;

import java.util.Objects;

/**
 * Position in a text from outside, such as a rules file. Immutable.
 *
 * @param source name of the file or of the argument
 * @param line line number from 1, or 0 if the whole source is meant
 * @param column column number from 1, or 0 if the whole line is meant
 */
public record SourcePosition(String source, int line, int column) {

    /** Checks the parts. */
    public SourcePosition {
        Objects.requireNonNull(source, "source is null");
        if (line < 0 || column < 0) {
            throw new IllegalArgumentException("line and column must not be negative");
        }
    }

    /**
     * A place that means a source as a whole.
     *
     * @param source name of the source
     * @return the place
     */
    public static SourcePosition ofSource(String source) {
        return new SourcePosition(source, 0, 0);
    }

    @Override
    public String toString() {
        return line == 0 ? source : source + ":" + line + ":" + column;
    }
}
