package org.yuccabank.bench;

import java.util.List;

/**
 * True slowdown that each kind of work causes for each other kind. Hidden from all policies except
 * the oracle. Immutable.
 *
 * <p>An entry of the table is the slowdown that 8 cores of the aggressor cause on a fully utilised
 * host. The effect is proportional to the cores of the aggressor and convex in the utilisation of
 * the host, like contention for shared caches and memory channels.
 */
final class SlowdownModel {

    private static final double REFERENCE_CORES = 8;

    /** Share of the effect that remains on an otherwise idle host. */
    private static final double IDLE_EFFECT_SHARE = 0.3;

    private final double[][] table;

    private SlowdownModel(double[][] table) {
        this.table = table;
    }

    /** Creates a model from a table with a row for each victim and a column for each aggressor. */
    static SlowdownModel of(List<double[]> rows) {
        return new SlowdownModel(rows.toArray(new double[0][]));
    }

    /**
     * Returns the true slowdown of a kind.
     *
     * @param victim index of the slowed kind
     * @param coresByKind processors in use by each kind
     * @param ownCores processors of the victim itself, which cause no slowdown
     * @param utilisation share of the host's processors in use
     * @return the factor, at least 1
     */
    double slowdown(int victim, double[] coresByKind, double ownCores, double utilisation) {
        double[] row = table[victim];
        double excessCores = 0;
        for (int aggressor = 0; aggressor < row.length; aggressor++) {
            double cores = coresByKind[aggressor];
            if (aggressor == victim) {
                cores -= ownCores;
            }
            excessCores += (row[aggressor] - 1) * Math.max(0, cores);
        }
        return 1 + excessCores / REFERENCE_CORES * utilisationEffect(utilisation);
    }

    private static double utilisationEffect(double utilisation) {
        double bounded = Math.min(1, utilisation);
        return IDLE_EFFECT_SHARE + (1 - IDLE_EFFECT_SHARE) * bounded * bounded;
    }
}
