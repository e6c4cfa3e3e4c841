package org.yuccabank.policy.workflow;

/**
 * Decides whether a throttled best-effort task should move to another worker. Without moving, the
 * last task of a step can nearly stall on a worker whose serving tasks have become busy while other
 * workers have capacity. Not thread-safe.
 */
public final class ThrottledRun {

    /** Throttling by at least this percentage makes a task eligible to move. */
    private static final int HEAVY_THROTTLE_PERCENT = 50;

    /**
     * Time of heavy throttling before a task moves. A peak of the serving load lasts about as long,
     * and a move costs the progress since the last checkpoint and the restart.
     */
    private static final long MOVE_DELAY_MILLIS = 2_500;

    /**
     * Progress, in percent, below which a task without checkpoints may be moved early and lose it.
     */
    private static final int DISPOSABLE_PROGRESS_PERCENT = 25;

    /**
     * Time of heavy throttling before a task moves that would lose more progress or is nearly done.
     */
    private static final long COSTLY_MOVE_DELAY_MILLIS = 4_000;

    /**
     * Progress, in percent, from which the longer delay applies, because the task can soon finish
     * where it is.
     */
    private static final int NEARLY_DONE_PERCENT = 90;

    private long throttledSinceMillis = Long.MAX_VALUE;

    /**
     * Records a report and returns whether the task should be restarted on another worker.
     *
     * @param throttlePercent reduction of the speed of the task, in percent
     * @param progressPercent progress of the task, 0 to 100
     * @param keepsProgress whether a restarted task resumes from the current progress
     * @param nowMillis current time of a monotonic clock
     * @return true if the task should move
     */
    public boolean shouldMove(
            int throttlePercent, int progressPercent, boolean keepsProgress, long nowMillis) {
        if (throttlePercent < HEAVY_THROTTLE_PERCENT) {
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
