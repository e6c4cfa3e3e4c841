package org.yuccabank.policy.checkpoint;

/** Mean time between unplanned stops of checkpointable tasks. Not thread-safe. */
public final class MeanTimeBetweenStops {

    /** One stop in ten minutes is assumed until more is known. */
    private static final long PRIOR_MILLIS = 600_000;

    private double totalRunMillis = PRIOR_MILLIS;
    private double stops = 1;

    private MeanTimeBetweenStops() {}

    /**
     * Creates a rate without observations.
     *
     * @return the rate
     */
    public static MeanTimeBetweenStops create() {
        return new MeanTimeBetweenStops();
    }

    /**
     * Takes in the end of an execution.
     *
     * @param runMillis how long it ran
     * @param unplanned true if it was stopped without a checkpoint
     */
    public void observe(long runMillis, boolean unplanned) {
        totalRunMillis += runMillis;
        stops += unplanned ? 1 : 0;
    }

    /**
     * Mean running time between unplanned stops of one task.
     *
     * @return the time in milliseconds
     */
    public long meanMillis() {
        return (long) (totalRunMillis / stops);
    }
}
