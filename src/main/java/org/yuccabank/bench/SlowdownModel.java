package org.yuccabank.bench;

import java.util.List;

/**
 * How much each kind truly slows each other kind. Hidden from every policy but the oracle.
 * Immutable.
 *
 * <p>An entry of the table is the slowdown that 8 cores of the aggressor cause on a full host. The
 * effect is proportional to the aggressor's cores and convex in the load of the host, as shared
 * caches and memory channels behave.
 */
final class SlowdownModel {

    private static final double REFERENCE_CORES = 8;

    /** Share of the effect that an otherwise idle host shows. */
    private static final double IDLE_EFFECT_SHARE = 0.3;

    private final double[][] table;

    private SlowdownModel(double[][] table) {
        this.table = table;
    }

    /** Creates a table; the row is the victim, the column the aggressor. */
    static SlowdownModel of(List<double[]> rows) {
        return new SlowdownModel(rows.toArray(new double[0][]));
    }

    /**
     * True slowdown.
     *
     * @param victim position of the slowed kind
     * @param coresByKind processors in use by each kind
     * @param ownCores processors of the victim itself, which do not slow it
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
