package org.yuccabank.bench.routing;

import java.util.Arrays;

/** Compares the work served to each account with the max-min fair division of the same total. */
final class Fairness {

    private Fairness() {}

    /**
     * Returns the share of the served work that exceeds the fair shares of its accounts.
     *
     * @param offered work that each account asked for
     * @param served work that each account was served in time
     * @return 0 for a fair division, close to 1 if most work exceeds the fair shares
     */
    static double error(long[] offered, long[] served) {
        long total = Arrays.stream(served).sum();
        if (total == 0) {
            return 0;
        }
        double level = fairLevel(offered, total);
        double excess = 0;
        for (int account = 0; account < offered.length; account++) {
            double fair = Math.min((double) offered[account], level);
            excess += Math.max(0, served[account] - fair);
        }
        return excess / total;
    }

    /**
     * Returns the maximum that any account receives when the total is divided with equal weights.
     */
    private static double fairLevel(long[] offered, long total) {
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
