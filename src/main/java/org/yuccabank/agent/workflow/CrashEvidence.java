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
 * an incarnation that announced its end has not crashed. Confined to the agent's event loop; times
 * are those of its monotonic clock.
 */
final class CrashEvidence {

    private final Function<WorkerIdentity, WorkerCrash> currentCrash;
    private Optional<WorkerCrash> previousCrash = Optional.empty();
    private long previousNoticedAtMillis;
    private boolean unresponsive;
    private long noticedAtMillis;

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
     * @param nowMillis current time
     * @return its crash if it does not answer, else that of the previous incarnation, if any
     */
    Optional<WorkerCrash> latest(WorkerIdentity current, long nowMillis) {
        return unresponsive
                ? Optional.of(withAge(currentCrash.apply(current), nowMillis - noticedAtMillis))
                : previousCrash.map(crash -> withAge(crash, nowMillis - previousNoticedAtMillis));
    }

    private static WorkerCrash withAge(WorkerCrash crash, long ageMillis) {
        return crash.toBuilder().setAgeMillis(ageMillis).build();
    }

    /**
     * Records whether the current incarnation answers.
     *
     * @param responsive whether it does
     * @param nowMillis current time
     * @return true if this has changed
     */
    boolean recordResponsive(boolean responsive, long nowMillis) {
        boolean changed = unresponsive == responsive;
        if (changed && !responsive) {
            noticedAtMillis = nowMillis;
        }
        unresponsive = !responsive;
        return changed;
    }

    /**
     * Records that the next incarnation has started.
     *
     * @param previous the previous incarnation
     * @param announcedEnd whether it announced its end
     * @param nowMillis current time
     */
    void recordReplaced(WorkerIdentity previous, boolean announcedEnd, long nowMillis) {
        previousCrash = announcedEnd ? Optional.empty() : Optional.of(currentCrash.apply(previous));
        previousNoticedAtMillis = unresponsive ? noticedAtMillis : nowMillis;
        unresponsive = false;
    }
}
