package org.yuccabank.bench;

import java.util.List;
import org.yuccabank.model.Resources;

/**
 * Report of a simulated host to the scheduler. Task states are current; slowdown and slot
 * utilisation are older by the measurement lag.
 *
 * @param hostIndex index of the host
 * @param sentAtMillis time of sending
 * @param running tasks that hold resources
 * @param ended tasks that ended since the last report
 * @param measuredAtMillis end of the second in which slowdown, slot utilisation and requests were
 *     measured
 * @param slowdown measured slowdown of the service instance
 * @param slotUtilisation share of the slots in use
 * @param requests number of requests served in that second
 */
record HostReport(
        int hostIndex,
        long sentAtMillis,
        List<RunningTask> running,
        List<EndedTask> ended,
        long measuredAtMillis,
        double slowdown,
        double slotUtilisation,
        int requests) {

    /** A task that holds resources, started or not. */
    record RunningTask(long token, boolean started, double usedCores, double atRiskMillis) {}

    /** A task that ended. */
    record EndedTask(long token, FakeExecution.EndReason reason, Resources peak) {}
}
