package org.yuccabank.policy.workflow;

/**
 * The part of a serving task's headroom that is taken, from its tail latency.
 *
 * <p>Tail latency rises like {@code idle / (1 - taken)}, as in a queue, so that the parts which the
 * load of the task and the tasks beside it take add up. Has no state.
 */
final class Headroom {

    /**
     * Share of the target that the tail latency is held to. The rest is for figures that lag. With
     * 0.65 the ordinary peaks of the serving tasks' own load stop all filling tasks beside them.
     */
    static final double LATENCY_SETPOINT_SHARE = 0.85;

    private Headroom() {}

    /**
     * The part that may be taken in all.
     *
     * @param idleMillis tail latency without load
     * @param targetMillis target of the tail latency
     * @return 0 to 1
     */
    static double usable(double idleMillis, double targetMillis) {
        return used(idleMillis, LATENCY_SETPOINT_SHARE * Math.max(1, targetMillis));
    }

    /**
     * The part that is taken.
     *
     * @param idleMillis tail latency without load
     * @param latencyMillis tail latency that was measured
     * @return 0 to 1
     */
    static double used(double idleMillis, double latencyMillis) {
        return latencyMillis <= idleMillis ? 0 : 1 - idleMillis / latencyMillis;
    }
}
