package org.yuccabank.rules;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;
import org.yuccabank.result.FindingCollector;
import org.yuccabank.result.Result;
import org.yuccabank.result.SourcePosition;

/**
 * One line of a rules file, split into words. Immutable, but for the collector that receives its
 * findings.
 *
 * @param position the line
 * @param words the words before the comment
 * @param endColumn column after the last word
 * @param findings receives what is wrong with the line
 */
record RuleLine(
        SourcePosition position, List<Word> words, int endColumn, FindingCollector findings) {

    /**
     * A word of a line.
     *
     * @param text its text
     * @param column its first column, from 1
     */
    record Word(String text, int column) {}

    /**
     * Splits a line.
     *
     * @param position the line
     * @param text the line without its comment
     * @param findings receives what is wrong with the line
     * @return the words of the line
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

    /** The words with single spaces between them. */
    String text() {
        return words.stream().map(Word::text).collect(Collectors.joining(" "));
    }

    /** Reports a fault at a word. */
    void addFinding(Word word, String message) {
        addFinding(word.column(), message);
    }

    /** Reports a fault at a column. */
    void addFinding(int column, String message) {
        findings.add(position.line(), column, message);
    }

    /** The place of a column of this line. */
    SourcePosition positionOf(int column) {
        return new SourcePosition(position.source(), position.line(), column);
    }

    /** Reports the findings of a failed result. */
    void addFindings(Result<?> result) {
        result.findings().all().forEach(findings::add);
    }
}
