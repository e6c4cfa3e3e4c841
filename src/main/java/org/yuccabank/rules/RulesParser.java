package org.yuccabank.rules;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.yuccabank.result.FindingCollector;
import org.yuccabank.result.Result;
import org.yuccabank.result.SourcePosition;

/**
 * Reads the text of a rules file and reports all of its faults together.
 *
 * <pre>{@code
 * Result<ParsedRules> rules = RulesParser.parse(text, "rules.txt");
 * rules.findings().all().forEach(System.out::println);
 * }</pre>
 *
 * <p>Time and memory are linear in the length of the text, which is bounded. Thread-safe, as it has
 * no state.
 */
public final class RulesParser {

    /** Greatest length of a rules file, in bytes and in characters. */
    public static final int GREATEST_LENGTH = 1 << 20;

    /** Greatest length of a line, in characters. */
    public static final int GREATEST_LINE_LENGTH = 500;

    private static final String ASKED_BY = "asked by";
    private static final String COMMENT_EXPECTED =
            "; every rule ends with '# asked by NAME' or '# asked by NAME: reason'";

    private RulesParser() {}

    /**
     * Reads rules.
     *
     * @param text the text of the file
     * @param source name of the file for findings
     * @return the rules, or all faults of the file in the order of their lines
     */
    public static Result<ParsedRules> parse(String text, String source) {
        Objects.requireNonNull(text, "text is null");
        Objects.requireNonNull(source, "source is null");
        if (text.length() > GREATEST_LENGTH) {
            String message = "the file is too long; at most " + GREATEST_LENGTH + " bytes fit";
            return Result.failure(new SourcePosition(source, 1, 1), message);
        }
        FindingCollector findings = FindingCollector.of(source);
        List<Rule> rules = rules(text, source, findings);
        RulesChecker.check(rules, findings);
        if (!findings.isEmpty()) {
            return Result.failure(findings.toFindings());
        }
        return Result.success(ParsedRules.of(rules));
    }

    private static List<Rule> rules(String text, String source, FindingCollector findings) {
        List<Rule> rules = new ArrayList<>();
        int number = 0;
        int start = 0;
        while (start <= text.length()) {
            int newline = text.indexOf('\n', start);
            int end = newline < 0 ? text.length() : newline;
            number++;
            String line = withoutCarriageReturn(text.substring(start, end));
            rule(line, new SourcePosition(source, number, 0), findings).ifPresent(rules::add);
            start = end + 1;
        }
        return rules;
    }

    private static String withoutCarriageReturn(String line) {
        return line.endsWith("\r") ? line.substring(0, line.length() - 1) : line;
    }

    private static Optional<Rule> rule(
            String line, SourcePosition place, FindingCollector findings) {
        if (line.length() > GREATEST_LINE_LENGTH) {
            String message =
                    "the line has "
                            + line.length()
                            + " characters; at most "
                            + GREATEST_LINE_LENGTH
                            + " are allowed";
            findings.add(place.line(), GREATEST_LINE_LENGTH + 1, message);
            return Optional.empty();
        }
        if (!hasOnlyPrintable(line, place, findings)) {
            return Optional.empty();
        }
        int hash = line.indexOf('#');
        String before = hash < 0 ? line : line.substring(0, hash);
        RuleLine words = RuleLine.of(place, before, findings);
        if (words.words().isEmpty()) {
            return Optional.empty();
        }
        Optional<Statement> statement = StatementParser.parse(words);
        Optional<Asker> asker = asker(words, line, hash);
        if (statement.isEmpty() || asker.isEmpty()) {
            return Optional.empty();
        }
        Asker who = asker.get();
        Rule rule = new Rule(place.line(), words.text(), who.name(), who.reason(), statement.get());
        return Optional.of(rule);
    }

    /** Reports control and invisible formatting characters, which could hide what a rule says. */
    private static boolean hasOnlyPrintable(
            String line, SourcePosition place, FindingCollector findings) {
        for (int index = 0; index < line.length(); index++) {
            char character = line.charAt(index);
            int type = Character.getType(character);
            boolean hidden =
                    character != '\t'
                            && (type == Character.CONTROL
                                    || type == Character.FORMAT
                                    || type == Character.LINE_SEPARATOR
                                    || type == Character.PARAGRAPH_SEPARATOR);
            if (hidden) {
                String code = String.format("U+%04X", (int) character);
                String message = "the control character " + code + " is not allowed; remove it";
                findings.add(place.line(), index + 1, message);
                return false;
            }
        }
        return true;
    }

    private record Asker(String name, Optional<String> reason) {}

    private static Optional<Asker> asker(RuleLine words, String line, int hash) {
        if (hash < 0) {
            words.fault(words.endColumn(), "nobody is named who asked" + COMMENT_EXPECTED);
            return Optional.empty();
        }
        String comment = line.substring(hash + 1).strip();
        boolean named =
                comment.equals(ASKED_BY)
                        || comment.startsWith(ASKED_BY + " ")
                        || comment.startsWith(ASKED_BY + "\t")
                        || comment.startsWith(ASKED_BY + ":");
        if (!named) {
            words.fault(hash + 1, "the comment does not say who asked" + COMMENT_EXPECTED);
            return Optional.empty();
        }
        String rest = comment.substring(ASKED_BY.length());
        int colon = rest.indexOf(':');
        String name = (colon < 0 ? rest : rest.substring(0, colon)).strip();
        if (name.isEmpty()) {
            words.fault(hash + 1, "the name after 'asked by' is empty" + COMMENT_EXPECTED);
            return Optional.empty();
        }
        String reason = colon < 0 ? "" : rest.substring(colon + 1).strip();
        return Optional.of(new Asker(name, Optional.of(reason).filter(why -> !why.isEmpty())));
    }
}
