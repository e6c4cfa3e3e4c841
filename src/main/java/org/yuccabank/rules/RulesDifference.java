package org.yuccabank.rules;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;

/**
 * Difference between two versions of the rules, regardless of rule order. Immutable.
 *
 * @param added rules whose subjects are only in the newer version
 * @param removed rules whose subjects are only in the older version
 * @param changed rules whose subjects are in both versions, but with a different statement,
 *     requester or reason
 */
public record RulesDifference(List<Rule> added, List<Rule> removed, List<Change> changed) {

    /** Copies the lists. */
    public RulesDifference {
        added = List.copyOf(added);
        removed = List.copyOf(removed);
        changed = List.copyOf(changed);
    }

    /**
     * A changed rule.
     *
     * @param before rule of the older version
     * @param after rule of the newer version
     */
    public record Change(Rule before, Rule after) {}

    /**
     * Compares two versions.
     *
     * @param older the older version
     * @param newer the newer version
     * @return the difference
     */
    public static RulesDifference between(ParsedRules older, ParsedRules newer) {
        Objects.requireNonNull(older, "older is null");
        Objects.requireNonNull(newer, "newer is null");
        Map<String, Rule> before = bySubject(older);
        Map<String, Rule> after = bySubject(newer);
        List<Rule> added = new ArrayList<>();
        List<Change> changed = new ArrayList<>();
        after.forEach(
                (subject, rule) -> {
                    Rule previous = before.remove(subject);
                    if (previous == null) {
                        added.add(rule);
                    } else if (!previous.hasSameContent(rule)) {
                        changed.add(new Change(previous, rule));
                    }
                });
        return new RulesDifference(added, List.copyOf(before.values()), changed);
    }

    /**
     * Returns whether both versions have the same rules.
     *
     * @return true if there is no difference
     */
    public boolean isEmpty() {
        return added.isEmpty() && removed.isEmpty() && changed.isEmpty();
    }

    private static Map<String, Rule> bySubject(ParsedRules rules) {
        Map<String, Rule> result = new LinkedHashMap<>();
        rules.rules().forEach(rule -> result.put(rule.statement().subject(), rule));
        return result;
    }
}
