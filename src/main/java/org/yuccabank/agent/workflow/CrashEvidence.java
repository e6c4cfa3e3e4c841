package org.yuccabank.agent.workflow;

import java.util.Optional;
import java.util.Set;
import org.yuccabank.protocol.generated.RunAddress;
import org.yuccabank.protocol.generated.WorkerCrash;
import org.yuccabank.protocol.generated.WorkerIdentity;

/**
 * The latest crash of the worker and the runs that may have caused it.
 *
 * <p>Invariants: the suspects are those at the first sign of the crash; the evidence is kept while
 * the worker does not answer and throughout the life of the next incarnation, so that it reaches
 * any later leader; an incarnation that announced its end has not crashed. Confined to the agent's
 * event loop.
 */
final class CrashEvidence {

    private Optional<WorkerCrash> latest = Optional.empty();

    /** Returns the evidence to report, empty if there was no crash. */
    Optional<WorkerCrash> latest() {
        return latest;
    }

    /**
     * Records that a worker does not answer.
     *
     * @param unstableRuns the runs that it started last
     * @return true if this is the first sign of a crash of this worker
     */
    boolean recordUnresponsive(WorkerIdentity worker, Set<RunAddress> unstableRuns) {
        if (concerns(worker)) {
            return false;
        }
        latest =
                Optional.of(
                        WorkerCrash.newBuilder()
                                .setWorker(worker)
                                .addAllSuspects(unstableRuns)
                                .build());
        return true;
    }

    /**
     * Records that a worker answers.
     *
     * @return true if it had been recorded as unresponsive
     */
    boolean recordResponsive(WorkerIdentity worker) {
        if (!concerns(worker)) {
            return false;
        }
        latest = Optional.empty();
        return true;
    }

    /**
     * Records that the next incarnation has started.
     *
     * @param announcedEnd whether the previous incarnation announced its end
     * @param unstableRuns the runs that it started last
     */
    void recordReplaced(
            WorkerIdentity previous, boolean announcedEnd, Set<RunAddress> unstableRuns) {
        if (announcedEnd) {
            latest = Optional.empty();
        } else {
            recordUnresponsive(previous, unstableRuns);
        }
    }

    private boolean concerns(WorkerIdentity worker) {
        return latest.filter(crash -> crash.getWorker().equals(worker)).isPresent();
    }
}
