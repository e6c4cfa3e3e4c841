package org.yuccabank.policy.workflow;

/**
 * Progress of one run, and whether it should be started again elsewhere. Answers the load in which
 * tasks on some workers stand still or are several times slower than their mates. Not thread-safe.
 */
public final class RunProgress {

    /** What to do with a run. */
    public enum Advice {
        /** Let it run. */
        KEEP,
        /** It stands still. */
        STANDS_STILL,
        /** A fresh run elsewhere would be done much earlier. */
        TOO_SLOW
    }

    /** Longest time for which a healthy run shows no progress: start-up and a late report. */
    private static final long STILL_MILLIS = 2_000;

    /** A run that shows one percent in less time than this part of its estimate is not still. */
    private static final double STILL_SHARE = 0.25;

    /** A rate is judged after this time. */
    private static final long RATE_MILLIS = 1_200;

    /** A new start has to save this factor, as the estimate may be far off. */
    private static final double SLOW_FACTOR = 3.0;

    private static final int WHOLE = 100;

    private final long estimatedMillis;
    private int percent = -1;
    private int firstPercent;
    private long firstMillis;
    private long changedMillis;
    private long seenMillis;

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
        seenMillis = nowMillis;
        if (percent < 0 || !atFullSpeed || newPercent < percent) {
            percent = newPercent;
            firstPercent = newPercent;
            firstMillis = nowMillis;
            changedMillis = nowMillis;
        } else if (newPercent > percent) {
            percent = newPercent;
            changedMillis = nowMillis;
        }
    }

    /**
     * Advises on the run.
     *
     * @param keepsProgress whether a new start resumes from the progress
     * @return what to do with the run
     */
    public Advice advise(boolean keepsProgress) {
        if (percent < 0 || percent >= WHOLE) {
            return Advice.KEEP;
        }
        double stillLimit = Math.max(STILL_MILLIS, STILL_SHARE * estimatedMillis);
        if (seenMillis - changedMillis > stillLimit) {
            return Advice.STANDS_STILL;
        }
        long elapsed = seenMillis - firstMillis;
        int gained = percent - firstPercent;
        if (elapsed < RATE_MILLIS || gained <= 0) {
            return Advice.KEEP;
        }
        double remainingMillis = (double) (WHOLE - percent) * elapsed / gained;
        double leftShare = keepsProgress ? (double) (WHOLE - percent) / WHOLE : 1;
        boolean saves = remainingMillis > SLOW_FACTOR * leftShare * estimatedMillis;
        return saves ? Advice.TOO_SLOW : Advice.KEEP;
    }
}
