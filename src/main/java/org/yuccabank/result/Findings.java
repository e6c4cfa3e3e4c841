package org.yuccabank.result;

import java.util.List;
import java.util.Objects;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * All errors found in an input, in detection order unless sorted by {@link FindingCollector}.
 * Immutable.
 *
 * @param all the findings
 */
public record Findings(List<Finding> all) {

    private static final Findings EMPTY = new Findings(List.of());

    /** Copies the list. */
    public Findings {
        all = List.copyOf(Objects.requireNonNull(all, "all is null"));
    }

    /**
     * Returns empty findings.
     *
     * @return the empty findings
     */
    public static Findings empty() {
        return EMPTY;
    }

    /**
     * Creates findings with the given elements.
     *
     * @param findings the elements
     * @return the findings
     */
    public static Findings of(Finding... findings) {
        return new Findings(List.of(findings));
    }

    /**
     * Returns these findings followed by others.
     *
     * @param other the findings to append
     * @return the concatenated findings
     */
    public Findings append(Findings other) {
        return new Findings(Stream.concat(all.stream(), other.all.stream()).toList());
    }

    /**
     * Returns whether there are no findings.
     *
     * @return true if there are none
     */
    public boolean isEmpty() {
        return all.isEmpty();
    }

    @Override
    public String toString() {
        return all.stream().map(Finding::toString).collect(Collectors.joining("\n"));
    }
}
