package org.yuccabank.policy.workflow;

import java.util.OptionalDouble;

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

    /** A new start has to save this factor, as mates differ by up to a half. */
    private static final double SLOW_FACTOR = 2.5;

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
     * Time of a whole run at the rate seen so far.
     *
     * @return milliseconds, empty while the rate is not known
     */
    public OptionalDouble wholeMillis() {
        long elapsed = seenMillis - firstMillis;
        int gained = percent - firstPercent;
        return elapsed < RATE_MILLIS || gained <= 0
                ? OptionalDouble.empty()
                : OptionalDouble.of((double) WHOLE * elapsed / gained);
    }

    /**
     * Advises on the run.
     *
     * @param keepsProgress whether a new start resumes from the progress
     * @param usualMillis time of a whole run of its mates, empty if it is not known
     * @return what to do with the run
     */
    public Advice advise(boolean keepsProgress, OptionalDouble usualMillis) {
        if (percent < 0 || percent >= WHOLE) {
            return Advice.KEEP;
        }
        double stillLimit = Math.max(STILL_MILLIS, STILL_SHARE * estimatedMillis);
        if (seenMillis - changedMillis > stillLimit) {
            return Advice.STANDS_STILL;
        }
        OptionalDouble whole = wholeMillis();
        if (whole.isEmpty() || usualMillis.isEmpty()) {
            return Advice.KEEP;
        }
        double leftShare = (double) (WHOLE - percent) / WHOLE;
        double remaining = leftShare * whole.getAsDouble();
        double fresh = (keepsProgress ? leftShare : 1) * usualMillis.getAsDouble();
        return remaining > SLOW_FACTOR * fresh ? Advice.TOO_SLOW : Advice.KEEP;
    }
}
