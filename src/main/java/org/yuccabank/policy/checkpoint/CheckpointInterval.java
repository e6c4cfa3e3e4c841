package org.yuccabank.policy.checkpoint;

/** Chooses how often a task writes a checkpoint. */
@FunctionalInterface
public interface CheckpointInterval {

    /** Below this a task would spend more time on checkpoints than on work. */
    long MIN_MILLIS = 5_000;

    /**
     * Chooses an interval.
     *
     * @param checkpointMillis time that one checkpoint takes
     * @param meanTimeBetweenStopsMillis observed mean time between unplanned stops of such tasks
     * @return interval between the starts of checkpoints in milliseconds
     */
    long millis(long checkpointMillis, long meanTimeBetweenStopsMillis);

    /**
     * The same interval for every task.
     *
     * @param intervalMillis the interval
     * @return the policy
     */
    static CheckpointInterval fixed(long intervalMillis) {
        return (cost, between) -> intervalMillis;
    }

    /**
     * Young's formula: the square root of 2 * cost * mean time between stops.
     *
     * @return the policy
     */
    static CheckpointInterval young() {
        return (cost, between) -> Math.max(MIN_MILLIS, (long) Math.sqrt(2.0 * cost * between));
    }
}
