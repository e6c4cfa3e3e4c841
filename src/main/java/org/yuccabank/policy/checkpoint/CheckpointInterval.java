package org.yuccabank.policy.checkpoint;

/** Determines the interval between checkpoints of a task. */
@FunctionalInterface
public interface CheckpointInterval {

    /** With shorter intervals, a task would spend more time on checkpoints than on work. */
    long MINIMUM_MILLIS = 5_000;

    /**
     * Returns the checkpoint interval.
     *
     * @param checkpointMillis duration of one checkpoint
     * @param meanTimeBetweenStopsMillis observed mean time between unplanned stops of such tasks
     * @return interval between the starts of consecutive checkpoints, in milliseconds
     */
    long millis(long checkpointMillis, long meanTimeBetweenStopsMillis);

    /**
     * Returns a policy with a fixed interval for all tasks.
     *
     * @param intervalMillis the interval
     * @return the policy
     */
    static CheckpointInterval fixed(long intervalMillis) {
        return (cost, between) -> intervalMillis;
    }

    /**
     * Returns a policy that applies Young's formula, the square root of {@code 2 * checkpoint
     * duration * mean time between stops}.
     *
     * @return the policy
     */
    static CheckpointInterval young() {
        return (cost, between) -> Math.max(MINIMUM_MILLIS, (long) Math.sqrt(2.0 * cost * between));
    }
}
