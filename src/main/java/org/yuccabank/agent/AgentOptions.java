package org.yuccabank.agent;

/**
 * Switches for single mechanisms of the agent. Production code uses {@link #defaults()}; tests
 * switch one mechanism off to show that their checks depend on it.
 *
 * @param checkCapacity refuse tasks that do not fit
 * @param countStopping count tasks whose end is not confirmed
 * @param checkTokens refuse a start with a token that is not the newest of its task
 * @param leaseFromReport measure a lease from the report that the directives answer
 * @param expireLeases stop tasks whose lease was not renewed
 * @param rememberKeys remember keys of at-most-once requests
 * @param recordRefusals remember the refusal of an at-most-once request
 * @param checkIncarnation refuse claims for another incarnation
 * @param adoptTasks count the tasks that run when the agent starts
 */
record AgentOptions(
        boolean checkCapacity,
        boolean countStopping,
        boolean checkTokens,
        boolean leaseFromReport,
        boolean expireLeases,
        boolean rememberKeys,
        boolean recordRefusals,
        boolean checkIncarnation,
        boolean adoptTasks) {

    private static final AgentOptions DEFAULTS =
            new AgentOptions(true, true, true, true, true, true, true, true, true);

    static AgentOptions defaults() {
        return DEFAULTS;
    }

    /** The standard options without the named mechanism. */
    static AgentOptions without(String mechanism) {
        return new AgentOptions(
                !mechanism.equals("checkCapacity"),
                !mechanism.equals("countStopping"),
                !mechanism.equals("checkTokens"),
                !mechanism.equals("leaseFromReport"),
                !mechanism.equals("expireLeases"),
                !mechanism.equals("rememberKeys"),
                !mechanism.equals("recordRefusals"),
                !mechanism.equals("checkIncarnation"),
                !mechanism.equals("adoptTasks"));
    }
}
