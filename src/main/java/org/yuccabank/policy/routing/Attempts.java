package org.yuccabank.policy.routing;

import java.util.HashSet;
import java.util.Objects;
import java.util.Set;
import org.yuccabank.model.Outcome;
import org.yuccabank.model.TargetId;

/**
 * Completed attempts of one request that produced no answer for the caller. Immutable.
 *
 * @param tried targets of all attempts
 * @param count number of completed attempts
 * @param mayHaveRun whether there is any attempt without evidence that it did not run
 */
public record Attempts(Set<TargetId> tried, int count, boolean mayHaveRun) {

    private static final Attempts NONE = new Attempts(Set.of(), 0, false);

    /** Copies the set of targets. */
    public Attempts {
        tried = Set.copyOf(Objects.requireNonNull(tried, "tried is null"));
    }

    /**
     * Returns the attempts of a new request.
     *
     * @return no attempts
     */
    public static Attempts none() {
        return NONE;
    }

    /**
     * Returns these attempts with another completed attempt.
     *
     * @param target target of the attempt
     * @param response result of the attempt
     * @return the extended attempts
     */
    public Attempts plus(TargetId target, Response response) {
        Set<TargetId> targets = new HashSet<>(tried);
        targets.add(target);
        boolean uncertain = mayHaveRun || !response.isEvidenceOfNotRun();
        return new Attempts(targets, count + 1, uncertain);
    }

    /**
     * Returns the outcome to report to the caller if no further attempt is made.
     *
     * @return {@link Outcome#NOT_RUN} only if there is evidence that no attempt ran
     */
    public Outcome outcome() {
        return mayHaveRun ? Outcome.UNKNOWN : Outcome.NOT_RUN;
    }
}
