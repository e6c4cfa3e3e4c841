package org.yuccabank.rules;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.yuccabank.model.WorkKind;
import org.yuccabank.result.FindingCollector;

/**
 * Detects duplicate and conflicting rules in a file, and at-most-once kinds that are not urgent.
 * Stateless and thread-safe.
 */
final class RulesChecker {

    private RulesChecker() {}

    /**
     * Checks the rules of a file against each other.
     *
     * @param rules the rules, each valid by itself
     * @param findings receives the findings
     */
    static void check(List<Rule> rules, FindingCollector findings) {
        Map<String, Rule> bySubject = new HashMap<>();
        for (Rule rule : rules) {
            Rule earlier = bySubject.putIfAbsent(rule.statement().subject(), rule);
            if (earlier != null) {
                findings.add(rule.line(), 1, conflictMessage(earlier, rule));
            }
        }
        for (Rule rule : rules) {
            if (rule.statement() instanceof Statement.AtMostOnce once) {
                checkAtMostOnceClass(rule, once.kind(), bySubject, findings);
            }
        }
    }

    private static String conflictMessage(Rule earlier, Rule later) {
        String subject = later.statement().subject();
        if (earlier.statement().equals(later.statement())) {
            return "repeats line " + earlier.line() + "; remove one of them";
        }
        String relation =
                earlier.statement().getClass() == later.statement().getClass()
                        ? "gives a second value for '" + subject + "' of line "
                        : "contradicts line ";
        String earlierRule = " ('" + earlier.text() + "', asked by " + earlier.askedBy() + ")";
        return relation + earlier.line() + earlierRule + "; remove one of them";
    }

    private static void checkAtMostOnceClass(
            Rule rule, WorkKind kind, Map<String, Rule> bySubject, FindingCollector findings) {
        Rule classRule = bySubject.get("class " + kind);
        if (classRule == null) {
            String message =
                    "the kind '" + kind + "' has no class; add 'urgent " + kind + " deadline=TIME'";
            findings.add(rule.line(), 1, message);
        } else if (classRule.statement() instanceof Statement.Batch) {
            String message =
                    "contradicts line "
                            + classRule.line()
                            + ": a batch task starts again after its"
                            + " host is lost; make '"
                            + kind
                            + "' urgent or remove this rule";
            findings.add(rule.line(), 1, message);
        }
    }
}
