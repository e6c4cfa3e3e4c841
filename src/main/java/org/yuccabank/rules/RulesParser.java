package org.yuccabank.rules;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.yuccabank.result.FindingCollector;
import org.yuccabank.result.Result;
import org.yuccabank.result.SourcePosition;

/**
 * Parses and validates rules files. All findings of a file are reported together.
 *
 * <pre>{@code
 * Result<ParsedRules> rules = RulesParser.parse(text, "rules.txt");
 * rules.findings().all().forEach(System.out::println);
 * }</pre>
 *
 * <p>Time and memory are linear in the length of the text, which is limited. Stateless and
 * thread-safe.
 */
public final class RulesParser {

    /** Maximum length of a rules file, both in bytes and in characters. */
    public static final int MAXIMUM_LENGTH = 1 << 20;

    /** Maximum length of a line in characters. */
    public static final int MAXIMUM_LINE_LENGTH = 500;

    private static final String REQUESTER_PREFIX = "asked by";
    private static final String EXPECTED_COMMENT =
            "; every rule ends with '# asked by NAME' or '# asked by NAME: reason'";

    private RulesParser() {}

    /**
     * Parses a rules file.
     *
     * @param text the text of the file
     * @param source name of the file for findings
     * @return the rules, or all findings in line order
     */
    public static Result<ParsedRules> parse(String text, String source) {
        Objects.requireNonNull(text, "text is null");
        Objects.requireNonNull(source, "source is null");
        if (text.length() > MAXIMUM_LENGTH) {
            String message = "the file is too long; at most " + MAXIMUM_LENGTH + " bytes fit";
            return Result.failure(new SourcePosition(source, 1, 1), message);
        }
        FindingCollector findings = FindingCollector.of(source);
        List<Rule> rules = parseRules(text, source, findings);
        RulesChecker.check(rules, findings);
        if (!findings.isEmpty()) {
            return Result.failure(findings.toFindings());
        }
        return Result.success(ParsedRules.of(rules));
    }

    private static List<Rule> parseRules(String text, String source, FindingCollector findings) {
        List<Rule> rules = new ArrayList<>();
        int number = 0;
        int start = 0;
        while (start <= text.length()) {
            int newline = text.indexOf('\n', start);
            int end = newline < 0 ? text.length() : newline;
            number++;
            String line = withoutCarriageReturn(text.substring(start, end));
            parseRule(line, new SourcePosition(source, number, 0), findings).ifPresent(rules::add);
            start = end + 1;
        }
        return rules;
    }

    private static String withoutCarriageReturn(String line) {
        return line.endsWith("\r") ? line.substring(0, line.length() - 1) : line;
    }

    private static Optional<Rule> parseRule(
            String line, SourcePosition position, FindingCollector findings) {
        if (line.length() > MAXIMUM_LINE_LENGTH) {
            String message =
                    "the line has "
                            + line.length()
                            + " characters; at most "
                            + MAXIMUM_LINE_LENGTH
                            + " are allowed";
            findings.add(position.line(), MAXIMUM_LINE_LENGTH + 1, message);
            return Optional.empty();
        }
        if (!hasOnlyPrintableCharacters(line, position, findings)) {
            return Optional.empty();
        }
        int commentStart = line.indexOf('#');
        String ruleText = commentStart < 0 ? line : line.substring(0, commentStart);
        RuleLine ruleLine = RuleLine.of(position, ruleText, findings);
        if (ruleLine.words().isEmpty()) {
            return Optional.empty();
        }
        Optional<Statement> statement = StatementParser.parse(ruleLine);
        Optional<Requester> parsedRequester = parseRequester(ruleLine, line, commentStart);
        if (statement.isEmpty() || parsedRequester.isEmpty()) {
            return Optional.empty();
        }
        Requester requester = parsedRequester.get();
        Rule rule =
                new Rule(
                        position.line(),
                        ruleLine.text(),
                        requester.name(),
                        requester.reason(),
                        statement.get());
        return Optional.of(rule);
    }

    /**
     * Rejects control and invisible format characters, which can disguise the content of a rule.
     */
    private static boolean hasOnlyPrintableCharacters(
            String line, SourcePosition position, FindingCollector findings) {
        for (int index = 0; index < line.length(); index++) {
            char character = line.charAt(index);
            int type = Character.getType(character);
            boolean forbidden =
                    character != '\t'
                            && (type == Character.CONTROL
                                    || type == Character.FORMAT
                                    || type == Character.LINE_SEPARATOR
                                    || type == Character.PARAGRAPH_SEPARATOR);
            if (forbidden) {
                String code = String.format("U+%04X", (int) character);
                String message = "the control character " + code + " is not allowed; remove it";
                findings.add(position.line(), index + 1, message);
                return false;
            }
        }
        return true;
    }

    private record Requester(String name, Optional<String> reason) {}

    private static Optional<Requester> parseRequester(
            RuleLine ruleLine, String line, int commentStart) {
        if (commentStart < 0) {
            ruleLine.addFinding(
                    ruleLine.endColumn(), "nobody is named who asked" + EXPECTED_COMMENT);
            return Optional.empty();
        }
        String comment = line.substring(commentStart + 1).strip();
        boolean hasPrefix =
                comment.equals(REQUESTER_PREFIX)
                        || comment.startsWith(REQUESTER_PREFIX + " ")
                        || comment.startsWith(REQUESTER_PREFIX + "\t")
                        || comment.startsWith(REQUESTER_PREFIX + ":");
        if (!hasPrefix) {
            ruleLine.addFinding(
                    commentStart + 1, "the comment does not say who asked" + EXPECTED_COMMENT);
            return Optional.empty();
        }
        String rest = comment.substring(REQUESTER_PREFIX.length());
        int colon = rest.indexOf(':');
        String name = (colon < 0 ? rest : rest.substring(0, colon)).strip();
        if (name.isEmpty()) {
            ruleLine.addFinding(
                    commentStart + 1, "the name after 'asked by' is empty" + EXPECTED_COMMENT);
            return Optional.empty();
        }
        String reason = colon < 0 ? "" : rest.substring(colon + 1).strip();
        return Optional.of(
                new Requester(name, Optional.of(reason).filter(text -> !text.isEmpty())));
    }
}
