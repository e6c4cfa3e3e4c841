package org.yuccabank.agent.workflow;

import java.util.Collection;
import java.util.Optional;
import org.yuccabank.model.Resources;

/**
 * Checks that a start keeps to the capacity of its worker, which may have shrunk since the leader
 * assigned the run. The agent knows the newest capacity and all runs on the worker, while the
 * leader knows both from an earlier report.
 *
 * <p>Invariant: a start is admitted only if it fits beside every run that may be on the worker,
 * including those that are being stopped. Stateless.
 */
final class StartAdmission {

    /** The decision about a start. */
    enum Decision {
        ADMITTED,
        /** The run beside it or the current capacity is unknown; both become known soon. */
        DEFERRED,
        /** The start exceeds the capacity. */
        REFUSED
    }

    private StartAdmission() {}

    /**
     * Decides whether a run may be started.
     *
     * @param start the run, with its start request
     * @param runs the runs of the worker
     * @param capacity the newest capacity that the worker has announced
     * @param capacityCurrent whether the announcement is recent enough to rely on
     */
    static Decision decide(
            RunEntry start,
            Collection<RunEntry> runs,
            Resources capacity,
            boolean capacityCurrent) {
        Resources reserved = start.reservation().orElseThrow();
        boolean allKnown = true;
        for (RunEntry run : runs) {
            if (run == start || !run.mayOccupyWorker()) {
                continue;
            }
            Optional<Resources> reservation = run.reservation();
            allKnown &= reservation.isPresent();
            reserved = reserved.plus(reservation.orElse(Resources.none()));
        }
        if (!capacityCurrent) {
            return Decision.DEFERRED;
        }
        if (!reserved.fitsWithin(capacity)) {
            return Decision.REFUSED;
        }
        return allKnown ? Decision.ADMITTED : Decision.DEFERRED;
    }
}
