package org.yuccabank.bench;

import org.yuccabank.model.Resources;

/** State of a placed task as known to the scheduler. Not thread-safe. */
final class Lease {

    final long token;
    final BenchTask task;
    final int hostIndex;
    final Resources reservation;
    final long grantedAtMillis;

    /** Processor use in the latest report, or the whole reservation before the first report. */
    long usedProcessorMillis;

    long startedAtMillis = -1;
    long atRiskMillis;
    boolean startConfirmed;
    boolean throttled;
    boolean stopping;

    Lease(long token, BenchTask task, int hostIndex, Resources reservation, long grantedAtMillis) {
        this.token = token;
        this.task = task;
        this.hostIndex = hostIndex;
        this.reservation = reservation;
        this.grantedAtMillis = grantedAtMillis;
        this.usedProcessorMillis = reservation.processorMillis();
    }
}
