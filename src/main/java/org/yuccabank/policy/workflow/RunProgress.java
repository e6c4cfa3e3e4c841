package org.yuccabank.policy.workflow;

import java.util.OptionalDouble;

/**
 * Tracks the progress of one run and decides whether to restart it on another worker. Detects a run
 * that stalls or is several times slower than other runs of its step. Not thread-safe.
 */
public final class RunProgress {

    /** Assessment of a run. */
    public enum Assessment {
        /** The run should continue. */
        KEEP,
        /** The run makes no progress and should be restarted. */
        STANDS_STILL,
        /** A restarted run would finish much earlier. */
        TOO_SLOW
    }

    /**
     * Longest time for which a healthy run may report no progress, because of its start-up or a
     * delayed report.
     */
    private static final long MINIMUM_STALL_MILLIS = 2_000;

    /** Share of the estimated run time without progress after which a run counts as stalled. */
    private static final double STALL_SHARE = 0.25;

    /** Minimum observation time before the progress rate is used. */
    private static final long MINIMUM_RATE_WINDOW_MILLIS = 1_200;

    /**
     * Minimum ratio of the remaining run time to that of a restarted run. It must exceed the
     * differences between healthy runs of a step, which are up to half.
     */
    private static final double MINIMUM_RESTART_GAIN = 2.5;

    private static final int COMPLETE_PERCENT = 100;

    private final long estimatedMillis;
    private int percent = -1;
    private int rateStartPercent;
    private long rateStartMillis;
    private long lastProgressMillis;
    private long lastReportMillis;

    /**
     * Creates the progress of a run that has just started.
     *
     * @param estimatedMillis estimated duration of a full run
     */
    public RunProgress(long estimatedMillis) {
        this.estimatedMillis = Math.max(1, estimatedMillis);
    }

    /**
     * Records a progress report. The measurement of the rate starts again after a throttled period.
     *
     * @param newPercent progress, 0 to 100
     * @param atFullSpeed false while the run is throttled
     * @param nowMillis current time of a monotonic clock
     */
    public void report(int newPercent, boolean atFullSpeed, long nowMillis) {
        lastReportMillis = nowMillis;
        if (percent < 0 || !atFullSpeed || newPercent < percent) {
            percent = newPercent;
            rateStartPercent = newPercent;
            rateStartMillis = nowMillis;
            lastProgressMillis = nowMillis;
        } else if (newPercent > percent) {
            percent = newPercent;
            lastProgressMillis = nowMillis;
        }
    }

    /**
     * Returns the duration of a full run at the measured rate.
     *
     * @return the duration in milliseconds, empty while the rate is unknown
     */
    public OptionalDouble fullRunMillis() {
        long elapsed = lastReportMillis - rateStartMillis;
        int gained = percent - rateStartPercent;
        return elapsed < MINIMUM_RATE_WINDOW_MILLIS || gained <= 0
                ? OptionalDouble.empty()
                : OptionalDouble.of((double) COMPLETE_PERCENT * elapsed / gained);
    }

    /**
     * Assesses whether the run should continue or be restarted.
     *
     * @param keepsProgress whether a restarted run resumes from the current progress
     * @param peerMedianMillis median duration of a full run of the step, empty if unknown
     * @return the assessment
     */
    public Assessment assess(boolean keepsProgress, OptionalDouble peerMedianMillis) {
        if (percent < 0 || percent >= COMPLETE_PERCENT) {
            return Assessment.KEEP;
        }
        double stallLimitMillis = Math.max(MINIMUM_STALL_MILLIS, STALL_SHARE * estimatedMillis);
        if (lastReportMillis - lastProgressMillis > stallLimitMillis) {
            return Assessment.STANDS_STILL;
        }
        OptionalDouble fullRun = fullRunMillis();
        if (fullRun.isEmpty() || peerMedianMillis.isEmpty()) {
            return Assessment.KEEP;
        }
        double remainingShare = (double) (COMPLETE_PERCENT - percent) / COMPLETE_PERCENT;
        double remainingMillis = remainingShare * fullRun.getAsDouble();
        double restartMillis =
                (keepsProgress ? remainingShare : 1) * peerMedianMillis.getAsDouble();
        return remainingMillis > MINIMUM_RESTART_GAIN * restartMillis
                ? Assessment.TOO_SLOW
                : Assessment.KEEP;
    }
}
