package org.yuccabank.rules;

import java.util.Objects;
import java.util.Optional;

/**
 * One rule of a rules file. Immutable.
 *
 * @param line line number, starting at 1
 * @param text text without the comment, words separated by single spaces
 * @param askedBy name of the requester
 * @param reason reason, empty if the comment states none
 * @param statement effect of the rule
 */
public record Rule(
        int line, String text, String askedBy, Optional<String> reason, Statement statement) {

    /** Validates the components. */
    public Rule {
        Objects.requireNonNull(text, "text is null");
        Objects.requireNonNull(askedBy, "askedBy is null");
        Objects.requireNonNull(reason, "reason is null");
        Objects.requireNonNull(statement, "statement is null");
    }

    /**
     * Returns whether another rule has the same content, regardless of line number and spelling.
     *
     * @param other the rule to compare with
     * @return true if statement, requester and reason are equal
     */
    public boolean hasSameContent(Rule other) {
        return statement.equals(other.statement)
                && askedBy.equals(other.askedBy)
                && reason.equals(other.reason);
    }

    @Override
    public String toString() {
        String suffix = reason.map(text -> ": " + text).orElse("");
        return text + "  # asked by " + askedBy + suffix;
    }
}
