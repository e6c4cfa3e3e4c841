package org.yuccabank.model;

/**
 * What is known about a request.
 *
 * <p>{@link #NOT_RUN} is given only with evidence that the request was not run and never will be.
 */
public enum Outcome {
    /** The request ran and its whole answer is known. */
    RAN("ran"),
    /** The request did not run and will not run under its present claim. */
    NOT_RUN("not-run"),
    /** The request may have run; no evidence tells. */
    UNKNOWN("unknown"),
    /** The request is claimed and its outcome is not known yet. */
    IN_PROGRESS("in-progress");

    private final String label;

    Outcome(String label) {
        this.label = label;
    }

    /**
     * Name of the outcome in headers and JSON.
     *
     * @return the label
     */
    public String label() {
        return label;
    }
}
