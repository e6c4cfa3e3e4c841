package org.yuccabank.bench;

import java.util.stream.IntStream;

/**
 * Distance between the processors that teams hold and their fair shares. The fair share is weighted
 * max-min of what all teams hold together, bounded by each team's demand. Pure.
 */
final class QuotaError {

    private QuotaError() {}

    /**
     * Share of the held processors that would have to change hands.
     *
     * @param held processors that each team holds
     * @param pending processors that each team waits for
     * @return the error, 0 to 1
     */
    static double of(double[] held, double[] pending) {
        double total = IntStream.range(0, held.length).mapToDouble(team -> held[team]).sum();
        if (total <= 0) {
            return 0;
        }
        double level = maxMinLevel(held, pending, total);
        double deviation = 0;
        for (int team = 0; team < held.length; team++) {
            double fair = Math.min(held[team] + pending[team], level);
            deviation += Math.abs(held[team] - fair);
        }
        return deviation / (2 * total);
    }

    /** Level up to which every demand is met so that the total is used up, by bisection. */
    private static double maxMinLevel(double[] held, double[] pending, double total) {
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
