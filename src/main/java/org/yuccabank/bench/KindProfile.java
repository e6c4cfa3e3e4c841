package org.yuccabank.bench;

import org.yuccabank.model.WorkKind;

/**
 * True properties of a kind of task; the scheduler does not see them.
 *
 * @param kind the kind
 * @param urgent true for latency-critical tasks
 * @param startShare share of the starts of its class, 0 to 1
 * @param meanCores mean processors that a task uses
 * @param meanPeakMemoryMebibytes mean greatest memory that a task uses
 * @param accelerators accelerators that a task needs
 * @param meanRunSeconds mean run time without slowdown
 * @param checkpointDurationMillis time that a checkpoint takes, 0 if the kind writes none
 * @param noisy true for the kind that comes in waves
 */
record KindProfile(
        WorkKind kind,
        boolean urgent,
        double startShare,
        double meanCores,
        double meanPeakMemoryMebibytes,
        int accelerators,
        double meanRunSeconds,
        long checkpointDurationMillis,
        boolean noisy) {}
