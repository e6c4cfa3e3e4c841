package org.yuccabank.bench.routing;

import java.util.Arrays;

/** Compares what accounts were served with the max-min fair division of the same total. */
final class Fairness {

    private Fairness() {}

    /**
     * Part of the work that went to other accounts than the fair division says.
     *
     * @param offered work that each account asked for
     * @param served work that each account was served in time
     * @return 0 if fair, towards 1 the more work went to the wrong accounts
     */
    static double error(long[] offered, long[] served) {
        long total = Arrays.stream(served).sum();
        if (total == 0) {
            return 0;
        }
        double level = maxMinLevel(offered, total);
        double excess = 0;
        for (int account = 0; account < offered.length; account++) {
            double fair = Math.min((double) offered[account], level);
            excess += Math.max(0, served[account] - fair);
        }
        return excess / total;
    }

    /** The most that any account gets when the total is divided with equal weights. */
    private static double maxMinLevel(long[] offered, long total) {
        long[] ascending = offered.clone();
        Arrays.sort(ascending);
        double remaining = total;
        for (int position = 0; position < ascending.length; position++) {
            double equalShare = remaining / (ascending.length - position);
            if (ascending[position] >= equalShare) {
                return equalShare;
            }
            remaining -= ascending[position];
        }
        return Double.MAX_VALUE;
    }
}
