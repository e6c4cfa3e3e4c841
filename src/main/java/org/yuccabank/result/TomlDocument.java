package org.yuccabank.result;

import org.tomlj.Toml;
import org.tomlj.TomlParseError;
import org.tomlj.TomlParseResult;
import org.tomlj.TomlPosition;
import org.tomlj.TomlTable;

/** Parses TOML and reports its faults as findings. Thread-safe, as it has no state. */
public final class TomlDocument {

    private TomlDocument() {}

    /**
     * Parses a text. After syntax errors the tables hold what could be read.
     *
     * @param text the text, of bounded length
     * @param source name of its source
     * @param findings receives the syntax errors
     * @return the tables
     */
    public static TomlTable parse(String text, String source, FindingCollector findings) {
        try {
            TomlParseResult document = Toml.parse(text);
            for (TomlParseError error : document.errors()) {
                findings.add(new Finding(positionOf(source, error.position()), error.getMessage()));
            }
            return document;
        } catch (StackOverflowError error) {
            // The parser recurses once for each nested array or inline table.
            findings.add(1, 1, "arrays or inline tables are nested too deeply");
            return Toml.parse("");
        }
    }

    /**
     * Place of a position in TOML.
     *
     * @param source name of the source
     * @param position the position, null if it is not known
     * @return the place, the beginning of the source if the position is not known
     */
    public static SourcePosition positionOf(String source, TomlPosition position) {
        return position == null
                ? new SourcePosition(source, 1, 1)
                : new SourcePosition(source, position.line(), position.column());
    }
}
