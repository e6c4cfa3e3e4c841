package org.yuccabank.agent.workflow;

import java.util.Optional;
import java.util.function.Function;
import org.yuccabank.protocol.generated.WorkerCrash;
import org.yuccabank.protocol.generated.WorkerIdentity;

/**
 * The latest crash of the worker and the runs that may have caused it.
 *
 * <p>Invariants: a worker that does not answer counts as crashed until it answers; the evidence of
 * an incarnation is kept throughout the life of the next one, so that it reaches any later leader;
 * an incarnation that announced its end has not crashed. Confined to the agent's event loop.
 */
final class CrashEvidence {

    private final Function<WorkerIdentity, WorkerCrash> currentCrash;
    private Optional<WorkerCrash> previousCrash = Optional.empty();
    private boolean unresponsive;

    /**
     * Creates an instance without evidence.
     *
     * @param currentCrash returns the crash of the current incarnation, if it has crashed
     */
    CrashEvidence(Function<WorkerIdentity, WorkerCrash> currentCrash) {
        this.currentCrash = currentCrash;
    }

    /**
     * Returns the evidence to report.
     *
     * @param current the current incarnation
     * @return its crash if it does not answer, else that of the previous incarnation, if any
     */
    Optional<WorkerCrash> latest(WorkerIdentity current) {
        return unresponsive ? Optional.of(currentCrash.apply(current)) : previousCrash;
    }

    /**
     * Records whether the current incarnation answers.
     *
     * @return true if this has changed
     */
    boolean recordResponsive(boolean responsive) {
        boolean changed = unresponsive == responsive;
        unresponsive = !responsive;
        return changed;
    }

    /**
     * Records that the next incarnation has started.
     *
     * @param previous the previous incarnation
     * @param announcedEnd whether it announced its end
     */
    void recordReplaced(WorkerIdentity previous, boolean announcedEnd) {
        previousCrash = announcedEnd ? Optional.empty() : Optional.of(currentCrash.apply(previous));
        unresponsive = false;
    }
}
