package org.yuccabank.rules;

import java.util.Objects;
import java.util.Optional;

/**
 * One rule as written in a file. Immutable.
 *
 * @param line its line number from 1
 * @param text the rule without its comment, words separated by single spaces
 * @param askedBy who asked for it
 * @param reason why, if the comment says so
 * @param statement what it says
 */
public record Rule(
        int line, String text, String askedBy, Optional<String> reason, Statement statement) {

    /** Checks the parts. */
    public Rule {
        Objects.requireNonNull(text, "text is null");
        Objects.requireNonNull(askedBy, "askedBy is null");
        Objects.requireNonNull(reason, "reason is null");
        Objects.requireNonNull(statement, "statement is null");
    }

    /**
     * Tells whether another rule says the same for the same reason, on whatever line.
     *
     * @param other the rule to compare with
     * @return true if statement, asker and reason are equal
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
