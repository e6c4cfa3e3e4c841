package org.yuccabank.rules;

import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.regex.Pattern;
import org.yuccabank.model.AccountId;
import org.yuccabank.model.Resources;
import org.yuccabank.model.WorkKind;
import org.yuccabank.result.NameSuggestion;
import org.yuccabank.result.Result;
import org.yuccabank.rules.RuleLine.Word;
import org.yuccabank.rules.RuleSet.BatchClass;
import org.yuccabank.rules.RuleSet.KindPair;
import org.yuccabank.rules.RuleSet.UrgentClass;

/**
 * Parses the statement of a line. Adds all findings to the collector of the line. Stateless and
 * thread-safe.
 */
final class StatementParser {

    private static final Map<String, Function<RuleLine, Optional<Statement>>> PARSERS_BY_KEYWORD =
            Map.of(
                    "share", line -> parsePair(line, "with", Statement.Share::new),
                    "separate", line -> parsePair(line, "from", Statement.Separate::new),
                    "quota", StatementParser::parseQuota,
                    "at-most-once", StatementParser::parseAtMostOnce,
                    "urgent", StatementParser::parseUrgent,
                    "batch", StatementParser::parseBatch);
    private static final List<String> KEYWORDS =
            List.of("share", "separate", "quota", "at-most-once", "urgent", "batch");
    private static final Map<String, QuantityType> QUOTA_OPTIONS =
            Map.of(
                    "cpu", QuantityType.PROCESSORS,
                    "memory", QuantityType.MEMORY,
                    "accelerators", QuantityType.ACCELERATORS,
                    "weight", QuantityType.WEIGHT);
    private static final Map<String, QuantityType> URGENT_OPTIONS =
            Map.of("deadline", QuantityType.DEADLINE, "priority", QuantityType.PRIORITY);
    private static final Map<String, QuantityType> BATCH_OPTIONS =
            Map.of("checkpoint", QuantityType.CHECKPOINT);
    private static final long DEFAULT_PRIORITY = 5;
    private static final Pattern NAME = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,63}");
    private static final String INVALID_NAME =
            "is not a name; expected up to 64 letters, digits, '-', '_' and '.',"
                    + " beginning with a letter or digit";

    private StatementParser() {}

    /**
     * Parses a line with at least one word.
     *
     * @param line the line
     * @return the statement, empty if a finding was added
     */
    static Optional<Statement> parse(RuleLine line) {
        Word keyword = line.words().get(0);
        Function<RuleLine, Optional<Statement>> parser = PARSERS_BY_KEYWORD.get(keyword.text());
        if (parser == null) {
            String hint = NameSuggestion.hint(keyword.text(), KEYWORDS);
            String knownKeywords = String.join(", ", KEYWORDS);
            line.addFinding(
                    keyword,
                    "unknown rule '" + keyword.text() + "'; rules are " + knownKeywords + hint);
            return Optional.empty();
        }
        return parser.apply(line);
    }

    private static Optional<Statement> parsePair(
            RuleLine line, String connective, Function<KindPair, Statement> statement) {
        String keyword = line.words().get(0).text();
        String syntax = "expected '" + keyword + " KIND " + connective + " KIND'";
        Optional<String> one = parseName(line, 1, syntax);
        boolean connectiveValid = hasConnective(line, connective, syntax);
        Optional<String> other = parseName(line, 3, syntax);
        boolean noExtraWords = hasAtMostWords(line, 4, syntax);
        if (!connectiveValid || !noExtraWords || one.isEmpty() || other.isEmpty()) {
            return Optional.empty();
        }
        KindPair pair = KindPair.of(WorkKind.of(one.get()), WorkKind.of(other.get()));
        return Optional.of(statement.apply(pair));
    }

    private static boolean hasConnective(RuleLine line, String connective, String syntax) {
        if (line.words().size() <= 2) {
            return false;
        }
        Word word = line.words().get(2);
        if (!word.text().equals(connective)) {
            line.addFinding(
                    word,
                    "'" + word.text() + "' stands in the place of '" + connective + "'; " + syntax);
            return false;
        }
        return true;
    }

    private static Optional<Statement> parseQuota(RuleLine line) {
        String syntax =
                "expected 'quota ACCOUNT cpu=CORES memory=SIZE [accelerators=N] [weight=N]'";
        Optional<String> account = parseName(line, 1, syntax);
        Optional<Map<String, Long>> options =
                parseOptions(line, QUOTA_OPTIONS, List.of("cpu", "memory"), syntax);
        if (account.isEmpty() || options.isEmpty()) {
            return Optional.empty();
        }
        Map<String, Long> values = options.get();
        int accelerators = values.getOrDefault("accelerators", 0L).intValue();
        int weight = values.getOrDefault("weight", 1L).intValue();
        Resources limit = Resources.of(values.get("cpu"), values.get("memory"), accelerators);
        AccountId accountId = AccountId.of(account.get());
        return Optional.of(new Statement.AccountQuota(accountId, new Quota(limit, weight)));
    }

    private static Optional<Statement> parseAtMostOnce(RuleLine line) {
        String syntax = "expected 'at-most-once KIND'";
        Optional<String> kind = parseName(line, 1, syntax);
        boolean noExtraWords = hasAtMostWords(line, 2, syntax);
        return kind.filter(name -> noExtraWords)
                .map(name -> new Statement.AtMostOnce(WorkKind.of(name)));
    }

    private static Optional<Statement> parseUrgent(RuleLine line) {
        String syntax = "expected 'urgent KIND deadline=TIME [priority=1..9]'";
        Optional<String> kind = parseName(line, 1, syntax);
        Optional<Map<String, Long>> options =
                parseOptions(line, URGENT_OPTIONS, List.of("deadline"), syntax);
        if (kind.isEmpty() || options.isEmpty()) {
            return Optional.empty();
        }
        Map<String, Long> values = options.get();
        Duration deadline = Duration.ofMillis(values.get("deadline"));
        int priority = values.getOrDefault("priority", DEFAULT_PRIORITY).intValue();
        UrgentClass limits = new UrgentClass(deadline, priority);
        return Optional.of(new Statement.Urgent(WorkKind.of(kind.get()), limits));
    }

    private static Optional<Statement> parseBatch(RuleLine line) {
        String syntax = "expected 'batch KIND [checkpoint=TIME]'";
        Optional<String> kind = parseName(line, 1, syntax);
        Optional<Map<String, Long>> options = parseOptions(line, BATCH_OPTIONS, List.of(), syntax);
        if (kind.isEmpty() || options.isEmpty()) {
            return Optional.empty();
        }
        Optional<Duration> interval =
                Optional.ofNullable(options.get().get("checkpoint")).map(Duration::ofMillis);
        BatchClass settings = new BatchClass(interval);
        return Optional.of(new Statement.Batch(WorkKind.of(kind.get()), settings));
    }

    private static Optional<String> parseName(RuleLine line, int index, String syntax) {
        if (line.words().size() <= index) {
            if (line.words().size() == index || index == 1) {
                line.addFinding(line.endColumn(), "the rule ends too early; " + syntax);
            }
            return Optional.empty();
        }
        Word word = line.words().get(index);
        if (!NAME.matcher(word.text()).matches()) {
            line.addFinding(word, "'" + word.text() + "' " + INVALID_NAME);
            return Optional.empty();
        }
        return Optional.of(word.text());
    }

    private static boolean hasAtMostWords(RuleLine line, int count, String syntax) {
        if (line.words().size() > count) {
            Word extra = line.words().get(count);
            line.addFinding(extra, "'" + extra.text() + "' is too much; " + syntax);
            return false;
        }
        return true;
    }

    /** Parses the words after the name as options; returns empty if one of them is not valid. */
    private static Optional<Map<String, Long>> parseOptions(
            RuleLine line,
            Map<String, QuantityType> knownOptions,
            Collection<String> required,
            String syntax) {
        Map<String, Long> values = new HashMap<>();
        boolean valid = true;
        for (Word word :
                line.words().subList(Math.min(2, line.words().size()), line.words().size())) {
            valid &= parseOption(line, word, knownOptions, values, syntax);
        }
        if (line.words().size() < 2) {
            return Optional.empty();
        }
        for (String name : required) {
            if (!values.containsKey(name) && !hasOption(line, name)) {
                line.addFinding(line.endColumn(), "'" + name + "=' is missing; " + syntax);
                valid = false;
            }
        }
        return valid ? Optional.of(values) : Optional.empty();
    }

    private static boolean hasOption(RuleLine line, String name) {
        return line.words().stream().anyMatch(word -> word.text().startsWith(name + "="));
    }

    private static boolean parseOption(
            RuleLine line,
            Word word,
            Map<String, QuantityType> knownOptions,
            Map<String, Long> values,
            String syntax) {
        int separator = word.text().indexOf('=');
        String name = separator < 0 ? word.text() : word.text().substring(0, separator);
        QuantityType type = knownOptions.get(name);
        if (separator < 0 || type == null) {
            String hint = NameSuggestion.hint(name, Set.copyOf(knownOptions.keySet()));
            line.addFinding(word, "unknown option '" + name + "'; " + syntax + hint);
            return false;
        }
        if (values.containsKey(name)) {
            line.addFinding(word, "'" + name + "=' stands twice; keep one of them");
            return false;
        }
        String value = word.text().substring(separator + 1);
        Result<Long> amount = type.parse(value, line.positionOf(word.column() + separator + 1));
        line.addFindings(amount);
        amount.toOptional().ifPresent(parsed -> values.put(name, parsed));
        return amount.isSuccess();
    }
}
