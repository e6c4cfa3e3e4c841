package org.yuccabank.control.workflow;

import java.util.HashMap;
import java.util.Map;
import java.util.stream.Stream;
import org.yuccabank.protocol.generated.WorkerIdentity;

/**
 * Tells crashes of several workers at once, which have a cause in common that no task is, from
 * those of single workers. A crash that something else explains is no sign of a common cause: a
 * worker that flaps, or one that had just started a suspect apart from other tasks, as tasks that
 * crash their workers at the same time would excuse each other.
 *
 * <p>Invariants: an incarnation counts once, with the time at which its agent first noticed that it
 * was gone; one that answers again does not count. A new leader learns of the latest crash of each
 * host from the reports of the agents. Confined to the replica thread; times are read from a
 * monotonic clock.
 */
final class CrashGroups {

    /**
     * Longest time between the notices of crashes that belong together. Most agents notice a crash
     * by a call that waits for long, so that their notices of one moment were seen to spread over
     * 0.3 to 1.2 s.
     */
    static final long WINDOW_MILLIS = 1_000;

    /** Time between the notices of crashes that hardly coincide by chance. */
    private static final long COINCIDENCE_MILLIS = 150;

    /** Other workers that have to be gone within the window; one less if they coincide. */
    private static final int OTHERS = 2;

    /** The same for a worker whose crash something else explains as well. */
    private static final int OTHERS_OF_EXPLAINED = 3;

    /** Time for which a crash is kept, as its runs may end long after it. */
    private static final long RETENTION_MILLIS = 60_000;

    private final Map<WorkerIdentity, Notice> notices = new HashMap<>();

    private record Notice(long atMillis, boolean explained) {}

    /**
     * Records that an incarnation is gone, unless it is recorded already.
     *
     * @param worker the incarnation
     * @param noticedAtMillis time at which its agent noticed it
     * @param expected whether it had just started a suspect
     */
    void record(WorkerIdentity worker, long noticedAtMillis, boolean expected) {
        if (notices.containsKey(worker)) {
            return;
        }
        notices.values().removeIf(each -> noticedAtMillis - each.atMillis() > RETENTION_MILLIS);
        boolean explained = expected || isFlapping(worker, noticedAtMillis);
        notices.put(worker, new Notice(noticedAtMillis, explained));
    }

    private boolean isFlapping(WorkerIdentity worker, long noticedAtMillis) {
        return notices.entrySet().stream()
                .filter(each -> each.getKey().getHostId().equals(worker.getHostId()))
                .map(each -> Math.abs(noticedAtMillis - each.getValue().atMillis()))
                .anyMatch(millis -> millis < WorkerCrashHistory.FLAPPING_INTERVAL_MILLIS);
    }

    /** Removes an incarnation that answers, and thus has not crashed. */
    void withdraw(WorkerIdentity worker) {
        notices.remove(worker);
    }

    /** Returns whether other workers were gone at the same time as an incarnation. */
    boolean isShared(WorkerIdentity worker) {
        Notice notice = notices.get(worker);
        if (notice == null) {
            return false;
        }
        int others = notice.explained() ? OTHERS_OF_EXPLAINED : OTHERS;
        return othersWithin(worker, notice.atMillis(), WINDOW_MILLIS) >= others
                || othersWithin(worker, notice.atMillis(), COINCIDENCE_MILLIS) >= others - 1;
    }

    private long othersWithin(WorkerIdentity worker, long atMillis, long millis) {
        return unexplainedHostsWithin(atMillis, millis)
                .filter(host -> !host.equals(worker.getHostId()))
                .distinct()
                .count();
    }

    private Stream<String> unexplainedHostsWithin(long atMillis, long millis) {
        return notices.entrySet().stream()
                .filter(each -> !each.getValue().explained())
                .filter(each -> Math.abs(each.getValue().atMillis() - atMillis) <= millis)
                .map(each -> each.getKey().getHostId());
    }

    /** Returns whether crashes at the same time as that of an incarnation may still be noticed. */
    boolean isUndecided(WorkerIdentity worker, long nowMillis) {
        Notice notice = notices.get(worker);
        return notice != null && nowMillis - notice.atMillis() < WINDOW_MILLIS;
    }
}
