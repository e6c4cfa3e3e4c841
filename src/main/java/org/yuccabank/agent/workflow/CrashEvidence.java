package org.yuccabank.agent.workflow;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Stream;
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

    /** Time for which earlier crashes are reported, that for which leaders weigh them. */
    private static final long EARLIER_RETENTION_MILLIS = 60_000;

    private static final int MAXIMUM_EARLIER = 4;

    private record NoticedCrash(WorkerCrash crash, long atMillis) {

        private WorkerCrash withAge(long nowMillis) {
            return crash.toBuilder().setAgeMillis(nowMillis - atMillis).build();
        }
    }

    private final Deque<NoticedCrash> earlierCrashes = new ArrayDeque<>();
    private Optional<NoticedCrash> previousCrash = Optional.empty();
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
                ? Optional.of(
                        new NoticedCrash(currentCrash.apply(current), noticedAtMillis)
                                .withAge(nowMillis))
                : previousCrash.map(crash -> crash.withAge(nowMillis));
    }

    /**
     * Returns the recent crashes before the one of {@link #latest}, the newest first, at most four.
     *
     * @param nowMillis current time
     */
    List<WorkerCrash> earlier(long nowMillis) {
        Stream<NoticedCrash> previous = unresponsive ? previousCrash.stream() : Stream.empty();
        return Stream.concat(previous, earlierCrashes.stream())
                .filter(each -> nowMillis - each.atMillis() <= EARLIER_RETENTION_MILLIS)
                .limit(MAXIMUM_EARLIER)
                .map(each -> each.withAge(nowMillis))
                .toList();
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
        previousCrash.ifPresent(earlierCrashes::addFirst);
        if (earlierCrashes.size() > MAXIMUM_EARLIER) {
            earlierCrashes.removeLast();
        }
        long atMillis = unresponsive ? noticedAtMillis : nowMillis;
        previousCrash =
                announcedEnd
                        ? Optional.empty()
                        : Optional.of(new NoticedCrash(currentCrash.apply(previous), atMillis));
        unresponsive = false;
    }
}
