package org.yuccabank.rules;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import org.yuccabank.model.AccountId;
import org.yuccabank.model.WorkKind;
import org.yuccabank.rules.RuleSet.BatchClass;
import org.yuccabank.rules.RuleSet.KindPair;
import org.yuccabank.rules.RuleSet.UrgentClass;

/**
 * Content of a valid rules file. Immutable.
 *
 * @param ruleSet combined effect of the rules
 * @param rules the rules with line number and requester, in file order
 */
public record ParsedRules(RuleSet ruleSet, List<Rule> rules) {

    /** Validates the components and copies the list of rules. */
    public ParsedRules {
        Objects.requireNonNull(ruleSet, "ruleSet is null");
        rules = List.copyOf(rules);
    }

    /**
     * Combines rules without conflicts into a rule set.
     *
     * @param rules the rules of one file
     * @return the rules with their combined effect
     */
    static ParsedRules of(List<Rule> rules) {
        Set<KindPair> separations = new HashSet<>();
        Map<AccountId, Quota> quotas = new HashMap<>();
        Set<WorkKind> atMostOnce = new HashSet<>();
        Map<WorkKind, UrgentClass> urgent = new HashMap<>();
        Map<WorkKind, BatchClass> batch = new HashMap<>();
        for (Rule rule : rules) {
            Statement statement = rule.statement();
            if (statement instanceof Statement.Separate separate) {
                separations.add(separate.pair());
            } else if (statement instanceof Statement.AccountQuota quota) {
                quotas.put(quota.account(), quota.quota());
            } else if (statement instanceof Statement.AtMostOnce once) {
                atMostOnce.add(once.kind());
            } else if (statement instanceof Statement.Urgent urgentRule) {
                urgent.put(urgentRule.kind(), urgentRule.limits());
            } else if (statement instanceof Statement.Batch batchRule) {
                batch.put(batchRule.kind(), batchRule.settings());
            }
        }
        return new ParsedRules(new RuleSet(separations, quotas, atMostOnce, urgent, batch), rules);
    }
}
