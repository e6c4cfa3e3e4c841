package org.yuccabank.rules;

import java.time.Duration;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import org.yuccabank.model.AccountId;
import org.yuccabank.model.WorkKind;

/**
 * Combined rules of one configuration version. Immutable and thread-safe.
 *
 * @param separations pairs of kinds that must not share a host
 * @param quotas quotas by account
 * @param atMostOnce kinds whose requests run at most once
 * @param urgent limits of urgent kinds
 * @param batch settings of batch kinds
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
     * @param first lexicographically smaller kind
     * @param second the other kind
     */
    public record KindPair(WorkKind first, WorkKind second) {

        /**
         * Creates a pair; the order of the arguments is irrelevant.
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
     * @param deadline time after which a response is useless
     * @param priority 1 (lowest) to 9 (highest)
     */
    public record UrgentClass(Duration deadline, int priority) {}

    /**
     * Settings of a batch kind.
     *
     * @param checkpointInterval requested interval, empty if the policy determines it
     */
    public record BatchClass(Optional<Duration> checkpointInterval) {}

    /**
     * Returns the empty rule set.
     *
     * @return the empty rule set
     */
    public static RuleSet empty() {
        return EMPTY;
    }

    /**
     * Returns whether two kinds may share a host.
     *
     * @param one one kind
     * @param other the other kind
     * @return false if a rule separates them
     */
    public boolean mayShareHost(WorkKind one, WorkKind other) {
        return !separations.contains(KindPair.of(one, other));
    }

    /**
     * Returns the quota of an account.
     *
     * @param account the account
     * @return the quota, empty if the account has none
     */
    public Optional<Quota> quota(AccountId account) {
        return Optional.ofNullable(quotas.get(account));
    }
}
