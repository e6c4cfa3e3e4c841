package org.yuccabank.control.workflow;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.yuccabank.protocol.generated.RunAddress;
import org.yuccabank.protocol.generated.WorkerCrash;
import org.yuccabank.protocol.generated.WorkerIdentity;

/**
 * The recent crashes of each host, which tell a worker that crashes on its own from a task that
 * crashes its workers.
 *
 * <p>Invariants: a crash of an incarnation counts once; crashes of a workflow that was given up are
 * removed, as their cause is known; a host that crashes again within {@link
 * #FLAPPING_INTERVAL_MILLIS} gives no evidence against a task. A new leader starts without history.
 * Confined to the replica thread; times are read from a monotonic clock.
 */
final class WorkerCrashHistory {

    /**
     * Time between two crashes of a host below which it counts as flapping. Workers that flap were
     * seen to crash every 1.04 to 1.4 s; a worker that a task has crashed needs more than 3 s until
     * it is back and crashes again.
     */
    static final long FLAPPING_INTERVAL_MILLIS = 3_000;

    /**
     * Time without a crash after which a host is trusted again with suspects: longer than the
     * period of workers that flap, and much less than the 3 s that a workflow may wait.
     */
    private static final long SETTLING_MILLIS = 1_500;

    /** Time for which a crash of a host weakens the evidence of its other crashes. */
    static final long RETENTION_MILLIS = 60_000;

    private final Map<String, List<RecordedCrash>> crashesByHost = new HashMap<>();
    private final CrashGroups groups = new CrashGroups();

    private record RecordedCrash(
            WorkerIdentity worker, Set<String> suspects, long atMillis, boolean flapping) {}

    /** Returns which crashes happened together. */
    CrashGroups groups() {
        return groups;
    }

    /** How much a worker is trusted not to crash on its own, in descending order of trust. */
    enum Reliability {
        WITHOUT_CRASH,
        CRASHED,
        FLAPPING
    }

    /**
     * Records a crash.
     *
     * @param crash the crash
     * @param nowMillis time at which it was reported
     * @return false if it is recorded already
     */
    boolean record(WorkerCrash crash, long nowMillis) {
        WorkerIdentity worker = crash.getWorker();
        List<RecordedCrash> crashes = recent(host(worker), nowMillis);
        if (crashes.stream().anyMatch(each -> each.worker().equals(worker))) {
            return false;
        }
        boolean flapping =
                crashes.stream()
                        .anyMatch(each -> nowMillis - each.atMillis() < FLAPPING_INTERVAL_MILLIS);
        Set<String> suspects = new HashSet<>(workflowIds(crash.getSuspectsList()));
        suspects.addAll(workflowIds(crash.getUncertainSuspectsList()));
        crashes.add(new RecordedCrash(worker, suspects, nowMillis, flapping));
        crashesByHost.put(host(worker), crashes);
        return true;
    }

    private static Set<String> workflowIds(Collection<RunAddress> runs) {
        Set<String> ids = new HashSet<>();
        runs.forEach(run -> ids.add(run.getTask().getWorkflowId()));
        return ids;
    }

    private List<RecordedCrash> recent(String host, long nowMillis) {
        List<RecordedCrash> crashes = new ArrayList<>(crashesByHost.getOrDefault(host, List.of()));
        crashes.removeIf(each -> nowMillis - each.atMillis() > RETENTION_MILLIS);
        return crashes;
    }

    /**
     * Returns whether an incarnation crashed so soon after an earlier one of its host that the
     * crash is no evidence.
     *
     * @param worker the incarnation, whose crash was recorded
     */
    boolean wasFlapping(WorkerIdentity worker) {
        return crashesByHost.getOrDefault(host(worker), List.of()).stream()
                .anyMatch(each -> each.worker().equals(worker) && each.flapping());
    }

    /**
     * Returns the number of recorded crashes of other incarnations of a host that a workflow cannot
     * have caused.
     *
     * @param worker an incarnation
     * @param workflowId the workflow
     */
    int crashesWithout(WorkerIdentity worker, String workflowId) {
        return (int)
                crashesByHost.getOrDefault(host(worker), List.of()).stream()
                        .filter(each -> !each.worker().equals(worker))
                        .filter(each -> !each.suspects().contains(workflowId))
                        .count();
    }

    /**
     * Returns the reliability of a worker.
     *
     * @param worker the worker
     * @param nowMillis current time
     */
    Reliability reliability(WorkerIdentity worker, long nowMillis) {
        List<RecordedCrash> crashes = recent(host(worker), nowMillis);
        if (crashes.isEmpty()) {
            return Reliability.WITHOUT_CRASH;
        }
        return crashes.stream().anyMatch(each -> nowMillis - each.atMillis() < SETTLING_MILLIS)
                ? Reliability.FLAPPING
                : Reliability.CRASHED;
    }

    /**
     * Removes the crashes of a workflow that was given up.
     *
     * @param workflowId the workflow
     */
    void removeCrashesOf(String workflowId) {
        crashesByHost
                .values()
                .forEach(crashes -> crashes.removeIf(each -> each.suspects().contains(workflowId)));
        crashesByHost.values().removeIf(List::isEmpty);
    }

    /** Returns what identifies the machine of a worker, which may return under another identity. */
    private static String host(WorkerIdentity worker) {
        return worker.getHostId().isEmpty() ? worker.getWorkerId() : worker.getHostId();
    }
}
