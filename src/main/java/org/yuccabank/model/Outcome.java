package org.yuccabank.model;

/**
 * Execution state of a request as far as it is known.
 *
 * <p>{@link #NOT_RUN} requires evidence that the request did not run and never will.
 */
public enum Outcome {
    /** The request ran and its complete response is known. */
    RAN("ran"),
    /** The request did not run and will not run under its current claim. */
    NOT_RUN("not-run"),
    /** The request may have run; there is no evidence either way. */
    UNKNOWN("unknown"),
    /** The request is claimed and its outcome is not yet known. */
    IN_PROGRESS("in-progress");

    private final String label;

    Outcome(String label) {
        this.label = label;
    }

    /**
     * Returns the name of the outcome in headers and JSON.
     *
     * @return the label
     */
    public String label() {
        return label;
    }
}
