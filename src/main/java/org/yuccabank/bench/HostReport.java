package org.yuccabank.bench;

import java.util.List;
import org.yuccabank.model.Resources;

/**
 * What a fake agent tells the scheduler. Task states are present ones; usage and slowdown are older
 * by the reporting lag.
 *
 * @param host position of the host
 * @param sentMillis time at which it was sent
 * @param running tasks that hold resources
 * @param ended tasks that ended since the last report
 * @param measuredAtMillis end of the second in which usage and slowdown were measured
 * @param slowdown measured slowdown of the service instance
 * @param utilisation share of the slots in use
 * @param requests number of requests measured
 */
record HostReport(
        int host,
        long sentMillis,
        List<Running> running,
        List<Ended> ended,
        long measuredAtMillis,
        double slowdown,
        double utilisation,
        int requests) {

    /** A task that holds resources. */
    record Running(long token, boolean started, double usedCores, double atRiskMillis) {}

    /** A task that ended. */
    record Ended(long token, FakeExecution.End end, Resources peak) {}
}
