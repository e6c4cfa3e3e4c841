package org.yuccabank.rules;

import org.yuccabank.model.AccountId;
import org.yuccabank.model.WorkKind;
import org.yuccabank.rules.RuleSet.BatchClass;
import org.yuccabank.rules.RuleSet.KindPair;
import org.yuccabank.rules.RuleSet.UrgentClass;

/** Effect of one rule, without requester and reason. Implementations are immutable. */
public sealed interface Statement {

    /**
     * Returns the subject of the rule. No two rules of a file may have the same subject.
     *
     * @return the subject, such as {@code quota studio-majorelle}
     */
    String subject();

    /**
     * Two kinds may share a host.
     *
     * @param pair the kinds
     */
    record Share(KindPair pair) implements Statement {
        @Override
        public String subject() {
            return pairSubject(pair);
        }
    }

    /**
     * Two kinds must not share a host.
     *
     * @param pair the kinds
     */
    record Separate(KindPair pair) implements Statement {
        @Override
        public String subject() {
            return pairSubject(pair);
        }
    }

    /**
     * An account has a quota.
     *
     * @param account the account
     * @param quota quota of the account
     */
    record AccountQuota(AccountId account, Quota quota) implements Statement {
        @Override
        public String subject() {
            return "quota " + account;
        }
    }

    /**
     * Requests of a kind run at most once.
     *
     * @param kind the kind
     */
    record AtMostOnce(WorkKind kind) implements Statement {
        @Override
        public String subject() {
            return "at-most-once " + kind;
        }
    }

    /**
     * A kind is urgent.
     *
     * @param kind the kind
     * @param limits deadline and priority
     */
    record Urgent(WorkKind kind, UrgentClass limits) implements Statement {
        @Override
        public String subject() {
            return "class " + kind;
        }
    }

    /**
     * A kind is batch work.
     *
     * @param kind the kind
     * @param settings checkpoint interval
     */
    record Batch(WorkKind kind, BatchClass settings) implements Statement {
        @Override
        public String subject() {
            return "class " + kind;
        }
    }

    private static String pairSubject(KindPair pair) {
        return "pair " + pair.first() + " " + pair.second();
    }
}
