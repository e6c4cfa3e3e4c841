package org.yuccabank.event;

/**
 * What happens to the log lines of a request, which is a workflow with all of its runs.
 *
 * <p>The leader decides once when it accepts a workflow and records the decision in the replicated
 * definition, which start directives repeat. All processes thus keep the same requests.
 */
public enum RequestLines {
    /** Every line is written. */
    KEPT,
    /** Lines are only counted. */
    OMITTED,
    /**
     * The process does not know the decision, such as an entry before the acceptance or an agent
     * that found a run on its worker. Lines are written, because the request may be a kept one.
     */
    UNDECIDED;

    /**
     * Returns the value that a definition or a start directive contains.
     *
     * @param omitted whether the leader has decided not to write the lines
     * @return the value
     */
    public static RequestLines decided(boolean omitted) {
        return omitted ? OMITTED : KEPT;
    }
}
