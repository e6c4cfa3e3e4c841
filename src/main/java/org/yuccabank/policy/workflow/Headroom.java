package org.yuccabank.policy.workflow;

/**
 * Computes the share of a serving task's headroom that is in use from its tail latency.
 *
 * <p>Tail latency is modelled as {@code idle / (1 - used)}, as in a queue, so that the shares used
 * by the task's own load and by the colocated tasks add up. Stateless.
 */
final class Headroom {

    /**
     * Share of the latency target used as setpoint. Best-effort tasks are placed for the peak of
     * the serving load, so the margin covers the rounding and the age of samples. At 0.65, normal
     * load peaks of the serving tasks stop all best-effort tasks on their workers.
     */
    static final double LATENCY_SETPOINT_SHARE = 0.9;

    private Headroom() {}

    /**
     * Returns the total share of the headroom that may be used.
     *
     * @param idleMillis tail latency without load
     * @param targetMillis target of the tail latency
     * @return the share, 0 to 1
     */
    static double usable(double idleMillis, double targetMillis) {
        return used(idleMillis, LATENCY_SETPOINT_SHARE * Math.max(1, targetMillis));
    }

    /**
     * Returns the share of the headroom in use.
     *
     * @param idleMillis tail latency without load
     * @param latencyMillis measured tail latency
     * @return the share, 0 to 1
     */
    static double used(double idleMillis, double latencyMillis) {
        return latencyMillis <= idleMillis ? 0 : 1 - idleMillis / latencyMillis;
    }
}
