package org.yuccabank.bench;

import org.yuccabank.model.Resources;

/** What the scheduler knows about a task that it placed. Not thread-safe. */
final class Lease {

    final long token;
    final BenchTask task;
    final int host;
    final Resources reservation;
    final long grantedMillis;

    /** Processors that the newest report names; the whole reservation before the first report. */
    long usedMillis;

    long startedMillis = -1;
    long atRiskMillis;
    boolean proven;
    boolean throttled;
    boolean stopping;

    Lease(long token, BenchTask task, int host, Resources reservation, long grantedMillis) {
        this.token = token;
        this.task = task;
        this.host = host;
        this.reservation = reservation;
        this.grantedMillis = grantedMillis;
        this.usedMillis = reservation.processorMillis();
    }
}
