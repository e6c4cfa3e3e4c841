package org.yuccabank.bench;

import org.yuccabank.model.Resources;

/** A task that truly runs on a fake host under one lease. Not thread-safe. */
final class FakeExecution {

    /** What the task does. */
    enum Phase {
        STARTING,
        RUNNING,
        CHECKPOINTING,
        STOPPING,
        ENDED
    }

    /** Why an execution ended. */
    enum EndReason {
        FINISHED,
        FAILED,
        OUT_OF_MEMORY,
        STOPPED
    }

    final long token;
    final BenchTask task;
    final Resources limit;
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
            Resources limit,
            long checkpointIntervalMillis,
            long readyMillis) {
        this.token = token;
        this.task = task;
        this.limit = limit;
        this.checkpointIntervalMillis = checkpointIntervalMillis;
        this.phaseEndMillis = readyMillis;
        this.progressMillis = task.checkpointedMillis;
    }

    /** Processors in use, bounded by the limit of the lease and by throttling. */
    double usedCores(double throttledShare) {
        if (phase != Phase.RUNNING) {
            return 0;
        }
        double requested = task.cores * (throttled ? throttledShare : 1);
        return Math.min(requested, limit.processorMillis() / 1000.0);
    }

    /** Memory in use: grows until half of the work is done. */
    double usedMemoryMebibytes() {
        double growth = Math.min(1, 2 * progressMillis / task.workMillis);
        return task.peakMemoryMebibytes * (0.4 + 0.6 * growth);
    }

    boolean holdsResources() {
        return phase != Phase.ENDED;
    }
}
