package org.yuccabank.rules;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;

/**
 * What changes from one version of the rules to another, without regard to their order. Immutable.
 *
 * @param added rules about subjects that the older version does not mention
 * @param removed rules about subjects that the newer version does not mention
 * @param changed rules about subjects of both versions that differ in statement, asker or reason
 */
public record RulesDifference(List<Rule> added, List<Rule> removed, List<Change> changed) {

    /** Copies the lists. */
    public RulesDifference {
        added = List.copyOf(added);
        removed = List.copyOf(removed);
        changed = List.copyOf(changed);
    }

    /**
     * A rule that differs.
     *
     * @param before the rule of the older version
     * @param after the rule of the newer version
     */
    public record Change(Rule before, Rule after) {}

    /**
     * Compares two versions.
     *
     * @param older the older version
     * @param newer the newer version
     * @return what changes from the older to the newer
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
     * Tells whether both versions say the same.
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
