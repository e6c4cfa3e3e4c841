package org.yuccabank.policy.workflow;

import java.util.OptionalDouble;

/**
 * Progress of one run, and whether it should be started again elsewhere. Answers the load in which
 * tasks on some workers stand still or are several times slower than their mates. Not thread-safe.
 */
public final class RunProgress {

    /** What to do with a run. */
    public enum Assessment {
        /** Let it run. */
        KEEP,
        /** It stands still. */
        STANDS_STILL,
        /** A fresh run elsewhere would be done much earlier. */
        TOO_SLOW
    }

    /** Longest time for which a healthy run shows no progress: start-up and a late report. */
    private static final long MIN_STALL_MILLIS = 2_000;

    /** A run that shows one percent in less time than this part of its estimate is not still. */
    private static final double STALL_SHARE = 0.25;

    /** A rate is judged after this time. */
    private static final long MIN_RATE_WINDOW_MILLIS = 1_200;

    /** A new start has to save this factor, as mates differ by up to a half. */
    private static final double MIN_RESTART_GAIN = 2.5;

    private static final int COMPLETE_PERCENT = 100;

    private final long estimatedMillis;
    private int percent = -1;
    private int rateStartPercent;
    private long rateStartMillis;
    private long lastProgressMillis;
    private long lastReportMillis;

    /**
     * Creates the progress of a run that was just started.
     *
     * @param estimatedMillis estimated time of a whole run
     */
    public RunProgress(long estimatedMillis) {
        this.estimatedMillis = Math.max(1, estimatedMillis);
    }

    /**
     * Takes a report.
     *
     * @param newPercent progress, 0 to 100
     * @param atFullSpeed false while the run is slowed down on purpose
     * @param nowMillis present time of a steady clock
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
     * Time of a whole run at the rate seen so far.
     *
     * @return milliseconds, empty while the rate is not known
     */
    public OptionalDouble fullRunMillis() {
        long elapsed = lastReportMillis - rateStartMillis;
        int gained = percent - rateStartPercent;
        return elapsed < MIN_RATE_WINDOW_MILLIS || gained <= 0
                ? OptionalDouble.empty()
                : OptionalDouble.of((double) COMPLETE_PERCENT * elapsed / gained);
    }

    /**
     * Advises on the run.
     *
     * @param keepsProgress whether a new start resumes from the progress
     * @param peerMedianMillis time of a whole run of its mates, empty if it is not known
     * @return what to do with the run
     */
    public Assessment assess(boolean keepsProgress, OptionalDouble peerMedianMillis) {
        if (percent < 0 || percent >= COMPLETE_PERCENT) {
            return Assessment.KEEP;
        }
        double stallLimitMillis = Math.max(MIN_STALL_MILLIS, STALL_SHARE * estimatedMillis);
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
        return remainingMillis > MIN_RESTART_GAIN * restartMillis
                ? Assessment.TOO_SLOW
                : Assessment.KEEP;
    }
}
