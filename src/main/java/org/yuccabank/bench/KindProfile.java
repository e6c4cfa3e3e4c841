package org.yuccabank.bench;

import org.yuccabank.model.WorkKind;

/**
 * True properties of a kind of task; the scheduler does not see them.
 *
 * @param kind the kind
 * @param urgent true for latency-critical tasks
 * @param share share of the starts of its class, 0 to 1
 * @param cores mean processors that a task uses
 * @param memoryMebibytes mean greatest memory that a task uses
 * @param accelerators accelerators that a task needs
 * @param runSeconds mean run time without slowdown
 * @param checkpointMillis time that a checkpoint takes, 0 if the kind writes none
 * @param noisy true for the kind that comes in waves
 */
record KindProfile(
        WorkKind kind,
        boolean urgent,
        double share,
        double cores,
        double memoryMebibytes,
        int accelerators,
        double runSeconds,
        long checkpointMillis,
        boolean noisy) {}
