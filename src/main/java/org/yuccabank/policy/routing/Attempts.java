package org.yuccabank.policy.routing;

import java.util.HashSet;
import java.util.Objects;
import java.util.Set;
import org.yuccabank.model.Outcome;
import org.yuccabank.model.TargetId;

/**
 * Attempts of one request that ended without an answer for the caller. Immutable.
 *
 * @param tried targets of all attempts
 * @param count number of attempts that ended
 * @param mayHaveRun whether any of them lacks evidence of "not run"
 */
public record Attempts(Set<TargetId> tried, int count, boolean mayHaveRun) {

    private static final Attempts NONE = new Attempts(Set.of(), 0, false);

    /** Copies the set. */
    public Attempts {
        tried = Set.copyOf(Objects.requireNonNull(tried, "tried is null"));
    }

    /**
     * The start of a request.
     *
     * @return no attempts
     */
    public static Attempts none() {
        return NONE;
    }

    /**
     * Adds an attempt that ended.
     *
     * @param target where it went
     * @param response how it ended
     * @return the attempts with it
     */
    public Attempts plus(TargetId target, Response response) {
        Set<TargetId> targets = new HashSet<>(tried);
        targets.add(target);
        boolean uncertain = mayHaveRun || !response.isEvidenceOfNotRun();
        return new Attempts(targets, count + 1, uncertain);
    }

    /**
     * What the caller may be told if no further attempt is made.
     *
     * @return {@link Outcome#NOT_RUN} only if there is evidence for every attempt
     */
    public Outcome outcome() {
        return mayHaveRun ? Outcome.UNKNOWN : Outcome.NOT_RUN;
    }
}
