package org.yuccabank.result;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Objects;

/**
 * Collects the findings of one input up to a limit, so that a hostile input cannot exhaust memory.
 * Not thread-safe.
 */
public final class FindingCollector {

    /** Maximum number of findings kept for one input; further ones are only counted. */
    public static final int MAXIMUM_FINDINGS = 1000;

    private static final Comparator<Finding> BY_POSITION =
            Comparator.<Finding>comparingInt(finding -> finding.position().line())
                    .thenComparingInt(finding -> finding.position().column());

    private final String source;
    private final List<Finding> findings = new ArrayList<>();
    private long omittedCount;

    private FindingCollector(String source) {
        this.source = source;
    }

    /**
     * Creates an empty collector.
     *
     * @param source name of the input
     * @return the collector
     */
    public static FindingCollector of(String source) {
        return new FindingCollector(Objects.requireNonNull(source, "source is null"));
    }

    /**
     * Adds a finding.
     *
     * @param line line number, starting at 1
     * @param column column number, starting at 1
     * @param message description of the error and of the expected input
     */
    public void add(int line, int column, String message) {
        add(new Finding(new SourcePosition(source, line, column), message));
    }

    /**
     * Adds a finding.
     *
     * @param finding the finding
     */
    public void add(Finding finding) {
        if (findings.size() < MAXIMUM_FINDINGS) {
            findings.add(Objects.requireNonNull(finding, "finding is null"));
        } else {
            omittedCount++;
        }
    }

    /**
     * Returns whether there are no findings.
     *
     * @return true if there are no findings
     */
    public boolean isEmpty() {
        return findings.isEmpty();
    }

    /**
     * Returns the findings ordered by position. If some were omitted, the last one states their
     * number.
     *
     * @return the findings
     */
    public Findings toFindings() {
        List<Finding> sorted = new ArrayList<>(findings);
        sorted.sort(BY_POSITION);
        if (omittedCount > 0) {
            String message = omittedCount + " more findings are not shown; correct these first";
            sorted.add(new Finding(new SourcePosition(source, 1, 1), message));
        }
        return new Findings(sorted);
    }
}
