package org.yuccabank.rules;

import java.time.Duration;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import org.yuccabank.model.AccountId;
import org.yuccabank.model.WorkKind;

/**
 * What the rules of one configuration version say, ready for decisions. Immutable and safe for use
 * by several threads.
 *
 * @param separations pairs of kinds that must not share a host
 * @param quotas quota of each account that has one
 * @param atMostOnce kinds whose requests run at most once
 * @param urgent urgent kinds with their limits
 * @param batch batch kinds with their checkpoint intervals
 */
public record RuleSet(
        Set<KindPair> separations,
        Map<AccountId, Quota> quotas,
        Set<WorkKind> atMostOnce,
        Map<WorkKind, UrgentClass> urgent,
        Map<WorkKind, BatchClass> batch) {

    private static final RuleSet EMPTY =
            new RuleSet(Set.of(), Map.of(), Set.of(), Map.of(), Map.of());

    /** Copies the collections. */
    public RuleSet {
        separations = Set.copyOf(separations);
        quotas = Map.copyOf(quotas);
        atMostOnce = Set.copyOf(atMostOnce);
        urgent = Map.copyOf(urgent);
        batch = Map.copyOf(batch);
    }

    /**
     * An unordered pair of kinds.
     *
     * @param first the lesser kind in the order of text
     * @param second the greater kind
     */
    public record KindPair(WorkKind first, WorkKind second) {

        /**
         * Creates a pair, in either order.
         *
         * @param one one kind
         * @param other the other kind
         * @return the pair
         */
        public static KindPair of(WorkKind one, WorkKind other) {
            Objects.requireNonNull(one, "one is null");
            Objects.requireNonNull(other, "other is null");
            return one.compareTo(other) <= 0 ? new KindPair(one, other) : new KindPair(other, one);
        }
    }

    /**
     * Limits of an urgent kind.
     *
     * @param deadline time within which an answer is of use
     * @param priority 1 (lowest) to 9 (highest)
     */
    public record UrgentClass(Duration deadline, int priority) {}

    /**
     * Settings of a batch kind.
     *
     * @param checkpointInterval interval asked for, empty if the policy chooses
     */
    public record BatchClass(Optional<Duration> checkpointInterval) {}

    /**
     * The rule set without any rule.
     *
     * @return the empty rule set
     */
    public static RuleSet empty() {
        return EMPTY;
    }

    /**
     * Tells whether two kinds may share a host.
     *
     * @param one one kind
     * @param other the other kind
     * @return false if a rule separates them
     */
    public boolean mayShareHost(WorkKind one, WorkKind other) {
        return !separations.contains(KindPair.of(one, other));
    }

    /**
     * Quota of an account.
     *
     * @param account the account
     * @return its quota, empty if no rule limits it
     */
    public Optional<Quota> quota(AccountId account) {
        return Optional.ofNullable(quotas.get(account));
    }
}
