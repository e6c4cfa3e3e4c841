package org.yuccabank.policy.checkpoint;

/** Estimates the mean time between unplanned stops of checkpointable tasks. Not thread-safe. */
public final class MeanTimeBetweenStops {

    /** Prior of one stop in ten minutes, before any observation. */
    private static final long PRIOR_MILLIS = 600_000;

    private double totalRunMillis = PRIOR_MILLIS;
    private double stops = 1;

    private MeanTimeBetweenStops() {}

    /**
     * Creates an estimate without observations.
     *
     * @return the estimate
     */
    public static MeanTimeBetweenStops create() {
        return new MeanTimeBetweenStops();
    }

    /**
     * Records the end of an execution.
     *
     * @param runMillis duration of the execution
     * @param unplanned true if it was stopped without a checkpoint
     */
    public void observe(long runMillis, boolean unplanned) {
        totalRunMillis += runMillis;
        stops += unplanned ? 1 : 0;
    }

    /**
     * Returns the mean run time between unplanned stops of one task.
     *
     * @return the time in milliseconds
     */
    public long meanMillis() {
        return (long) (totalRunMillis / stops);
    }
}
