package org.yuccabank.bench;

import java.util.List;
import org.yuccabank.model.Resources;

/**
 * What a fake agent tells the scheduler. Task states are present ones; usage and slowdown are older
 * by the reporting lag.
 *
 * @param hostIndex position of the host
 * @param sentAtMillis time at which it was sent
 * @param running tasks that hold resources
 * @param ended tasks that ended since the last report
 * @param measuredAtMillis end of the second in which usage and slowdown were measured
 * @param slowdown measured slowdown of the service instance
 * @param slotUtilisation share of the slots in use
 * @param requests number of requests measured
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

    /** A task that holds resources. */
    record RunningTask(long token, boolean started, double usedCores, double atRiskMillis) {}

    /** A task that ended. */
    record EndedTask(long token, FakeExecution.EndReason reason, Resources peak) {}
}
