package org.yuccabank.rules;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;
import org.yuccabank.result.FindingCollector;
import org.yuccabank.result.Result;
import org.yuccabank.result.SourcePosition;

/**
 * One line of a rules file, split into words. Immutable except for the collector of its findings.
 *
 * @param position position of the line
 * @param words words before the comment
 * @param endColumn column after the last word
 * @param findings receives the findings about the line
 */
record RuleLine(
        SourcePosition position, List<Word> words, int endColumn, FindingCollector findings) {

    /**
     * A word of a line.
     *
     * @param text text of the word
     * @param column first column, starting at 1
     */
    record Word(String text, int column) {}

    /**
     * Splits a line at spaces and tabs.
     *
     * @param position position of the line
     * @param text the line without its comment
     * @param findings receives the findings about the line
     * @return the split line
     */
    static RuleLine of(SourcePosition position, String text, FindingCollector findings) {
        List<Word> words = new ArrayList<>();
        int offset = 0;
        int end = 0;
        while (offset < text.length()) {
            if (isBlank(text.charAt(offset))) {
                offset++;
                continue;
            }
            int start = offset;
            while (offset < text.length() && !isBlank(text.charAt(offset))) {
                offset++;
            }
            words.add(new Word(text.substring(start, offset), start + 1));
            end = offset;
        }
        return new RuleLine(position, List.copyOf(words), end + 1, findings);
    }

    private static boolean isBlank(char character) {
        return character == ' ' || character == '\t';
    }

    /** Returns the words, separated by single spaces. */
    String text() {
        return words.stream().map(Word::text).collect(Collectors.joining(" "));
    }

    /** Adds a finding at a word. */
    void addFinding(Word word, String message) {
        addFinding(word.column(), message);
    }

    /** Adds a finding at a column. */
    void addFinding(int column, String message) {
        findings.add(position.line(), column, message);
    }

    /** Returns the position of a column of this line. */
    SourcePosition positionOf(int column) {
        return new SourcePosition(position.source(), position.line(), column);
    }

    /** Adds the findings of a result. */
    void addFindings(Result<?> result) {
        result.findings().all().forEach(findings::add);
    }
}
