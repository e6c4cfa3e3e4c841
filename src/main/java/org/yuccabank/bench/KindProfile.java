package org.yuccabank.bench;

import org.yuccabank.model.WorkKind;

/**
 * True properties of a kind of work, hidden from the scheduler.
 *
 * @param kind the kind
 * @param urgent true for latency-critical tasks
 * @param startShare share of the starts of its class, urgent or batch, 0 to 1
 * @param meanCores mean processors that a task uses
 * @param meanPeakMemoryMebibytes mean peak memory of a task
 * @param accelerators accelerators that a task needs
 * @param meanRunSeconds mean run time without slowdown
 * @param checkpointDurationMillis duration of a checkpoint, 0 if the kind writes none
 * @param noisy whether tasks of the kind can arrive in waves
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
