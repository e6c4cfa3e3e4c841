package org.yuccabank.policy.workflow;

/**
 * Decides whether a filling task that is slowed down for the serving tasks beside it should go on
 * elsewhere. Answers the load in which the tail task of a step stands nearly still on a worker
 * whose serving tasks have become busy, while others have room. Not thread-safe.
 */
public final class ThrottledRun {

    /** A task that loses at least this part of its speed is better off elsewhere. */
    private static final int HEAVY_THROTTLE_PERCENT = 50;

    /** Load swings within seconds, and a restart costs a part of one. */
    private static final long MOVE_DELAY_MILLIS = 900;

    /** Progress that may be lost by a task that does not save it, in percent. */
    private static final int DISPOSABLE_PROGRESS_PERCENT = 25;

    /** Time after which a task goes on elsewhere although its progress is lost. */
    private static final long COSTLY_MOVE_DELAY_MILLIS = 2_500;

    /** A task that is nearly done is left to end for as long as one whose progress is lost. */
    private static final int NEARLY_DONE_PERCENT = 90;

    private long throttledSinceMillis = Long.MAX_VALUE;

    /**
     * Takes a report.
     *
     * @param slowedByPercent part of its speed that was taken from the task
     * @param progressPercent its progress
     * @param keepsProgress whether a new start resumes from the progress
     * @param nowMillis present time of a steady clock
     * @return true if the task should be stopped and start again where it is bearable
     */
    public boolean shouldMove(
            int slowedByPercent, int progressPercent, boolean keepsProgress, long nowMillis) {
        if (slowedByPercent < HEAVY_THROTTLE_PERCENT) {
            throttledSinceMillis = Long.MAX_VALUE;
            return false;
        }
        throttledSinceMillis = Math.min(throttledSinceMillis, nowMillis);
        boolean cheap =
                (keepsProgress || progressPercent < DISPOSABLE_PROGRESS_PERCENT)
                        && progressPercent < NEARLY_DONE_PERCENT;
        return nowMillis - throttledSinceMillis
                >= (cheap ? MOVE_DELAY_MILLIS : COSTLY_MOVE_DELAY_MILLIS);
    }
}
