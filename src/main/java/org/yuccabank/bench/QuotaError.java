package org.yuccabank.bench;

import java.util.stream.IntStream;

/**
 * Deviation of the processors that teams hold from their fair shares. The fair shares are the
 * max-min fair division, with equal weights, of what all teams hold together, bounded by the demand
 * of each team. Stateless.
 */
final class QuotaError {

    private QuotaError() {}

    /**
     * Returns the share of the held processors that a fair division would give to other teams.
     *
     * @param held processors that each team holds
     * @param pending processors that the pending tasks of each team demand
     * @return the error, 0 to 1
     */
    static double of(double[] held, double[] pending) {
        double total = IntStream.range(0, held.length).mapToDouble(team -> held[team]).sum();
        if (total <= 0) {
            return 0;
        }
        double level = fairLevel(held, pending, total);
        double deviation = 0;
        for (int team = 0; team < held.length; team++) {
            double fair = Math.min(held[team] + pending[team], level);
            deviation += Math.abs(held[team] - fair);
        }
        return deviation / (2 * total);
    }

    /**
     * Returns the level at which the demands, each limited to the level, add up to the total. Found
     * by bisection.
     */
    private static double fairLevel(double[] held, double[] pending, double total) {
        double low = 0;
        double high = total;
        for (int step = 0; step < 50; step++) {
            double middle = (low + high) / 2;
            double used = 0;
            for (int team = 0; team < held.length; team++) {
                used += Math.min(held[team] + pending[team], middle);
            }
            if (used < total) {
                low = middle;
            } else {
                high = middle;
            }
        }
        return high;
    }
}
