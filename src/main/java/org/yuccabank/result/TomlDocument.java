package org.yuccabank.result;

import org.tomlj.Toml;
import org.tomlj.TomlParseError;
import org.tomlj.TomlParseResult;
import org.tomlj.TomlPosition;
import org.tomlj.TomlTable;

/** Parses TOML and reports syntax errors as findings. Stateless and thread-safe. */
public final class TomlDocument {

    private TomlDocument() {}

    /**
     * Parses a text. After syntax errors the table contains the keys that were parsed.
     *
     * @param text the text, whose length the caller limits
     * @param source name of the source
     * @param findings receives the syntax errors
     * @return the root table
     */
    public static TomlTable parse(String text, String source, FindingCollector findings) {
        try {
            TomlParseResult document = Toml.parse(text);
            for (TomlParseError error : document.errors()) {
                findings.add(new Finding(positionOf(source, error.position()), error.getMessage()));
            }
            return document;
        } catch (StackOverflowError error) {
            // The parser recurses for each nested array or inline table.
            findings.add(1, 1, "arrays or inline tables are nested too deeply");
            return Toml.parse("");
        }
    }

    /**
     * Converts a position of the TOML parser.
     *
     * @param source name of the source
     * @param position the position, null if it is unknown
     * @return the position, the start of the source if it is unknown
     */
    public static SourcePosition positionOf(String source, TomlPosition position) {
        return position == null
                ? new SourcePosition(source, 1, 1)
                : new SourcePosition(source, position.line(), position.column());
    }
}
