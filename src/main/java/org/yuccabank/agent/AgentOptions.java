package org.yuccabank.agent;

/**
 * Switches for individual safety mechanisms of the agent. Production code uses {@link #defaults()};
 * tests disable one mechanism to show that their checks detect its absence. Immutable.
 *
 * @param checkCapacity refuse tasks that do not fit into the free capacity
 * @param countStopping count the reservations of tasks until their end is confirmed
 * @param checkTokens refuse a start whose fencing token is not the newest of its task
 * @param leaseFromReport start a lease at the time when the answered report was sent
 * @param expireLeases stop tasks whose lease was not renewed
 * @param rememberKeys deduplicate at-most-once requests by their key
 * @param recordRefusals record the refusal of an at-most-once request
 * @param checkIncarnation refuse claims made for another incarnation
 * @param adoptTasks adopt the tasks that already run when the agent starts
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

    /**
     * Returns the default options with one mechanism disabled.
     *
     * @param mechanism component name of the mechanism
     */
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
