package org.yuccabank.result;

import java.util.List;
import java.util.Objects;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * All faults that were found in an input, in the order in which they were found. Immutable.
 *
 * @param all the faults
 */
public record Findings(List<Finding> all) {

    private static final Findings EMPTY = new Findings(List.of());

    /** Copies the list. */
    public Findings {
        all = List.copyOf(Objects.requireNonNull(all, "all is null"));
    }

    /**
     * No faults.
     *
     * @return the empty findings
     */
    public static Findings empty() {
        return EMPTY;
    }

    /**
     * Findings with the given elements.
     *
     * @param findings the faults
     * @return the findings
     */
    public static Findings of(Finding... findings) {
        return new Findings(List.of(findings));
    }

    /**
     * Appends other findings.
     *
     * @param other the findings to append
     * @return the findings of both
     */
    public Findings append(Findings other) {
        return new Findings(Stream.concat(all.stream(), other.all.stream()).toList());
    }

    /**
     * Tells whether nothing was found.
     *
     * @return true if there are no faults
     */
    public boolean isEmpty() {
        return all.isEmpty();
    }

    @Override
    public String toString() {
        return all.stream().map(Finding::toString).collect(Collectors.joining("\n"));
    }
}
