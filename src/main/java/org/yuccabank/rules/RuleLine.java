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
 * @param place the line
 * @param words the words before the comment
 * @param endColumn column after the last word
 * @param findings receives what is wrong with the line
 */
record RuleLine(SourcePosition place, List<Word> words, int endColumn, FindingCollector findings) {

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
     * @param place the line
     * @param text the line without its comment
     * @param findings receives what is wrong with the line
     * @return the words of the line
     */
    static RuleLine of(SourcePosition place, String text, FindingCollector findings) {
        List<Word> words = new ArrayList<>();
        int position = 0;
        int end = 0;
        while (position < text.length()) {
            if (isBlank(text.charAt(position))) {
                position++;
                continue;
            }
            int start = position;
            while (position < text.length() && !isBlank(text.charAt(position))) {
                position++;
            }
            words.add(new Word(text.substring(start, position), start + 1));
            end = position;
        }
        return new RuleLine(place, List.copyOf(words), end + 1, findings);
    }

    private static boolean isBlank(char character) {
        return character == ' ' || character == '\t';
    }

    /** The words with single spaces between them. */
    String text() {
        return words.stream().map(Word::text).collect(Collectors.joining(" "));
    }

    /** Reports a fault at a word. */
    void fault(Word word, String message) {
        fault(word.column(), message);
    }

    /** Reports a fault at a column. */
    void fault(int column, String message) {
        findings.add(place.line(), column, message);
    }

    /** The place of a column of this line. */
    SourcePosition at(int column) {
        return new SourcePosition(place.source(), place.line(), column);
    }

    /** Reports the findings of a failed result. */
    void faults(Result<?> result) {
        result.findings().all().forEach(findings::add);
    }
}
