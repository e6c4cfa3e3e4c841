package org.yuccabank.policy.interference;

import java.util.List;
import org.yuccabank.model.WorkKind;
import org.yuccabank.policy.placement.KindLoad;

/** Estimates how much the tasks on a host slow down one kind. Estimating has no side effects. */
@FunctionalInterface
public interface SlowdownEstimator {

    /**
     * Estimates the slowdown of a kind on a host.
     *
     * @param victim kind whose slowdown is estimated
     * @param hostLoad load on the host, including the victim's own
     * @param added kind that is added to the load
     * @param addedMillis processors that the added kind uses, in thousandths of a core; negative if
     *     work is removed, 0 for no change
     * @param capacityMillis processors of the host, in thousandths of a core
     * @return the factor by which the run time of the victim increases, at least 1
     */
    double slowdown(
            WorkKind victim,
            List<KindLoad> hostLoad,
            WorkKind added,
            long addedMillis,
            long capacityMillis);

    /**
     * Returns an estimator that assumes no interference.
     *
     * @return an estimator that always returns 1
     */
    static SlowdownEstimator none() {
        return (victim, hostLoad, added, addedMillis, capacityMillis) -> 1;
    }
}
