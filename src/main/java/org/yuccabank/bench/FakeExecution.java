package org.yuccabank.bench;

import org.yuccabank.model.Resources;

/** Execution of a task on a simulated host under one lease. Not thread-safe. */
final class FakeExecution {

    /** Phase of an execution. */
    enum Phase {
        STARTING,
        RUNNING,
        CHECKPOINTING,
        STOPPING,
        ENDED
    }

    /** Reason for the end of an execution. */
    enum EndReason {
        FINISHED,
        FAILED,
        OUT_OF_MEMORY,
        STOPPED
    }

    final long token;
    final BenchTask task;
    final Resources reservation;
    final long checkpointIntervalMillis;
    Phase phase = Phase.STARTING;
    EndReason endReason;
    long phaseEndMillis;
    long runningSinceMillis;
    long nextCheckpointMillis;
    double progressMillis;
    boolean throttled;
    boolean stopAfterCheckpoint;
    double peakCores;

    FakeExecution(
            long token,
            BenchTask task,
            Resources reservation,
            long checkpointIntervalMillis,
            long readyMillis) {
        this.token = token;
        this.task = task;
        this.reservation = reservation;
        this.checkpointIntervalMillis = checkpointIntervalMillis;
        this.phaseEndMillis = readyMillis;
        this.progressMillis = task.checkpointedMillis;
    }

    /** Returns the processors in use, limited by the reservation of the lease and by throttling. */
    double usedCores(double throttledShare) {
        if (phase != Phase.RUNNING) {
            return 0;
        }
        double requested = task.cores * (throttled ? throttledShare : 1);
        return Math.min(requested, reservation.processorMillis() / 1000.0);
    }

    /** Returns the memory in use, which grows until half of the work is done. */
    double usedMemoryMebibytes() {
        double growth = Math.min(1, 2 * progressMillis / task.workMillis);
        return task.peakMemoryMebibytes * (0.4 + 0.6 * growth);
    }

    boolean holdsResources() {
        return phase != Phase.ENDED;
    }
}
