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
 * Reads what one line says. Reports every fault of the line to the line's collector. Thread-safe,
 * as it has no state.
 */
final class StatementParser {

    private static final Map<String, Function<RuleLine, Optional<Statement>>> VERBS =
            Map.of(
                    "share", line -> pair(line, "with", Statement.Share::new),
                    "separate", line -> pair(line, "from", Statement.Separate::new),
                    "quota", StatementParser::quota,
                    "at-most-once", StatementParser::atMostOnce,
                    "urgent", StatementParser::urgent,
                    "batch", StatementParser::batch);
    private static final List<String> VERB_NAMES =
            List.of("share", "separate", "quota", "at-most-once", "urgent", "batch");
    private static final Map<String, Quantity> QUOTA_OPTIONS =
            Map.of(
                    "cpu", Quantity.PROCESSORS,
                    "memory", Quantity.MEMORY,
                    "accelerators", Quantity.ACCELERATORS,
                    "weight", Quantity.WEIGHT);
    private static final Map<String, Quantity> URGENT_OPTIONS =
            Map.of("deadline", Quantity.DEADLINE, "priority", Quantity.PRIORITY);
    private static final Map<String, Quantity> BATCH_OPTIONS =
            Map.of("checkpoint", Quantity.CHECKPOINT);
    private static final long DEFAULT_PRIORITY = 5;
    private static final Pattern NAME = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,63}");
    private static final String NAME_EXPECTED =
            "is not a name; expected up to 64 letters, digits, '-', '_' and '.',"
                    + " beginning with a letter or digit";

    private StatementParser() {}

    /**
     * Reads a line that has at least one word.
     *
     * @param line the line
     * @return what it says, empty if a fault was reported
     */
    static Optional<Statement> parse(RuleLine line) {
        Word verb = line.words().get(0);
        Function<RuleLine, Optional<Statement>> parser = VERBS.get(verb.text());
        if (parser == null) {
            String hint = NameSuggestion.hint(verb.text(), VERB_NAMES);
            String known = String.join(", ", VERB_NAMES);
            line.fault(verb, "unknown rule '" + verb.text() + "'; rules are " + known + hint);
            return Optional.empty();
        }
        return parser.apply(line);
    }

    private static Optional<Statement> pair(
            RuleLine line, String link, Function<KindPair, Statement> statement) {
        String verb = line.words().get(0).text();
        String form = "expected '" + verb + " KIND " + link + " KIND'";
        Optional<String> one = name(line, 1, form);
        boolean linked = link(line, link, form);
        Optional<String> other = name(line, 3, form);
        boolean complete = hasAtMost(line, 4, form);
        if (!linked || !complete || one.isEmpty() || other.isEmpty()) {
            return Optional.empty();
        }
        KindPair pair = KindPair.of(WorkKind.of(one.get()), WorkKind.of(other.get()));
        return Optional.of(statement.apply(pair));
    }

    private static boolean link(RuleLine line, String link, String form) {
        if (line.words().size() <= 2) {
            return false;
        }
        Word word = line.words().get(2);
        if (!word.text().equals(link)) {
            line.fault(
                    word, "'" + word.text() + "' stands in the place of '" + link + "'; " + form);
            return false;
        }
        return true;
    }

    private static Optional<Statement> quota(RuleLine line) {
        String form = "expected 'quota ACCOUNT cpu=CORES memory=SIZE [accelerators=N] [weight=N]'";
        Optional<String> account = name(line, 1, form);
        Optional<Map<String, Long>> options =
                options(line, QUOTA_OPTIONS, List.of("cpu", "memory"), form);
        if (account.isEmpty() || options.isEmpty()) {
            return Optional.empty();
        }
        Map<String, Long> values = options.get();
        int accelerators = values.getOrDefault("accelerators", 0L).intValue();
        int weight = values.getOrDefault("weight", 1L).intValue();
        Resources limit = Resources.of(values.get("cpu"), values.get("memory"), accelerators);
        AccountId identifier = AccountId.of(account.get());
        return Optional.of(new Statement.AccountQuota(identifier, new Quota(limit, weight)));
    }

    private static Optional<Statement> atMostOnce(RuleLine line) {
        String form = "expected 'at-most-once KIND'";
        Optional<String> kind = name(line, 1, form);
        boolean complete = hasAtMost(line, 2, form);
        return kind.filter(name -> complete)
                .map(name -> new Statement.AtMostOnce(WorkKind.of(name)));
    }

    private static Optional<Statement> urgent(RuleLine line) {
        String form = "expected 'urgent KIND deadline=TIME [priority=1..9]'";
        Optional<String> kind = name(line, 1, form);
        Optional<Map<String, Long>> options =
                options(line, URGENT_OPTIONS, List.of("deadline"), form);
        if (kind.isEmpty() || options.isEmpty()) {
            return Optional.empty();
        }
        Map<String, Long> values = options.get();
        Duration deadline = Duration.ofMillis(values.get("deadline"));
        int priority = values.getOrDefault("priority", DEFAULT_PRIORITY).intValue();
        UrgentClass limits = new UrgentClass(deadline, priority);
        return Optional.of(new Statement.Urgent(WorkKind.of(kind.get()), limits));
    }

    private static Optional<Statement> batch(RuleLine line) {
        String form = "expected 'batch KIND [checkpoint=TIME]'";
        Optional<String> kind = name(line, 1, form);
        Optional<Map<String, Long>> options = options(line, BATCH_OPTIONS, List.of(), form);
        if (kind.isEmpty() || options.isEmpty()) {
            return Optional.empty();
        }
        Optional<Duration> interval =
                Optional.ofNullable(options.get().get("checkpoint")).map(Duration::ofMillis);
        BatchClass settings = new BatchClass(interval);
        return Optional.of(new Statement.Batch(WorkKind.of(kind.get()), settings));
    }

    private static Optional<String> name(RuleLine line, int index, String form) {
        if (line.words().size() <= index) {
            if (line.words().size() == index || index == 1) {
                line.fault(line.endColumn(), "the rule ends too early; " + form);
            }
            return Optional.empty();
        }
        Word word = line.words().get(index);
        if (!NAME.matcher(word.text()).matches()) {
            line.fault(word, "'" + word.text() + "' " + NAME_EXPECTED);
            return Optional.empty();
        }
        return Optional.of(word.text());
    }

    private static boolean hasAtMost(RuleLine line, int count, String form) {
        if (line.words().size() > count) {
            Word extra = line.words().get(count);
            line.fault(extra, "'" + extra.text() + "' is too much; " + form);
            return false;
        }
        return true;
    }

    /** Reads the words after the name as options, empty if one of them is at fault. */
    private static Optional<Map<String, Long>> options(
            RuleLine line, Map<String, Quantity> known, Collection<String> required, String form) {
        Map<String, Long> values = new HashMap<>();
        boolean valid = true;
        for (Word word :
                line.words().subList(Math.min(2, line.words().size()), line.words().size())) {
            valid &= option(line, word, known, values, form);
        }
        if (line.words().size() < 2) {
            return Optional.empty();
        }
        for (String name : required) {
            if (!values.containsKey(name) && !hasOption(line, name)) {
                line.fault(line.endColumn(), "'" + name + "=' is missing; " + form);
                valid = false;
            }
        }
        return valid ? Optional.of(values) : Optional.empty();
    }

    private static boolean hasOption(RuleLine line, String name) {
        return line.words().stream().anyMatch(word -> word.text().startsWith(name + "="));
    }

    private static boolean option(
            RuleLine line,
            Word word,
            Map<String, Quantity> known,
            Map<String, Long> values,
            String form) {
        int separator = word.text().indexOf('=');
        String name = separator < 0 ? word.text() : word.text().substring(0, separator);
        Quantity quantity = known.get(name);
        if (separator < 0 || quantity == null) {
            String hint = NameSuggestion.hint(name, Set.copyOf(known.keySet()));
            line.fault(word, "unknown option '" + name + "'; " + form + hint);
            return false;
        }
        if (values.containsKey(name)) {
            line.fault(word, "'" + name + "=' stands twice; keep one of them");
            return false;
        }
        String value = word.text().substring(separator + 1);
        Result<Long> amount = quantity.parse(value, line.at(word.column() + separator + 1));
        line.faults(amount);
        amount.toOptional().ifPresent(parsed -> values.put(name, parsed));
        return amount.isSuccess();
    }
}
