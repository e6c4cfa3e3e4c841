package org.yuccabank.local;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.yuccabank.standin.WorkerRecord;
import org.yuccabank.standin.WorkerRecord.Event;

/**
 * What truly happened according to the stand-in workers' own records. Immutable.
 *
 * @param evicted tasks that were stopped before their end
 * @param runTwice keys of at-most-once kinds that ran more than once, tasks that finished more than
 *     once, and tasks that ran in two places at the same time
 */
public record WorkerRecordSummary(long evicted, long runTwice) {

    /**
     * Evaluates records.
     *
     * @param workers the records of each worker
     * @param atMostOnceKinds kinds whose requests run at most once
     * @return the counts
     */
    public static WorkerRecordSummary of(
            List<List<WorkerRecord>> workers, Set<String> atMostOnceKinds) {
        List<WorkerRecord> all = new ArrayList<>();
        workers.forEach(all::addAll);
        long evicted =
                all.stream()
                        .filter(
                                entry ->
                                        entry.event() == Event.TASK_STOPPED
                                                || entry.event() == Event.TASK_LEASE_EXPIRED)
                        .count();
        long repeatedRequests =
                countRepeated(
                        all.stream()
                                .filter(entry -> entry.event() == Event.REQUEST_STARTED)
                                .filter(entry -> atMostOnceKinds.contains(entry.kind()))
                                .toList());
        long repeatedFinishes =
                countRepeated(
                        all.stream()
                                .filter(entry -> entry.event() == Event.TASK_FINISHED)
                                .toList());
        return new WorkerRecordSummary(
                evicted, repeatedRequests + repeatedFinishes + countOverlapping(workers));
    }

    private static long countRepeated(List<WorkerRecord> records) {
        Map<String, Integer> runs = new HashMap<>();
        records.forEach(entry -> runs.merge(entry.kind() + " " + entry.id(), 1, Integer::sum));
        return runs.values().stream().filter(count -> count > 1).count();
    }

    /** A run of a task on one worker. */
    private record Run(long startMillis, long endMillis, long token) {

        boolean overlaps(Run other) {
            return token != other.token
                    && startMillis < other.endMillis
                    && other.startMillis < endMillis;
        }
    }

    private static long countOverlapping(List<List<WorkerRecord>> workers) {
        Map<String, List<Run>> runs = new HashMap<>();
        for (List<WorkerRecord> records : workers) {
            collectRuns(records, runs);
        }
        Set<String> overlapping = new HashSet<>();
        runs.forEach(
                (task, taskRuns) -> {
                    for (Run run : taskRuns) {
                        if (taskRuns.stream().anyMatch(run::overlaps)) {
                            overlapping.add(task);
                        }
                    }
                });
        return overlapping.size();
    }

    private static void collectRuns(List<WorkerRecord> records, Map<String, List<Run>> runs) {
        Map<String, WorkerRecord> openRuns = new HashMap<>();
        for (WorkerRecord entry : records) {
            switch (entry.event()) {
                case TASK_STARTED, TASK_RESUMED -> openRuns.put(entry.id(), entry);
                case TASK_STOPPED, TASK_LEASE_EXPIRED, TASK_FINISHED, TASK_FAILED -> {
                    WorkerRecord start = openRuns.remove(entry.id());
                    if (start != null) {
                        addRun(runs, start, entry.atMillis());
                    }
                }
                default -> {
                    // Other records neither begin nor end a run.
                }
            }
        }
        openRuns.values().forEach(start -> addRun(runs, start, Long.MAX_VALUE));
    }

    private static void addRun(Map<String, List<Run>> runs, WorkerRecord start, long endMillis) {
        runs.computeIfAbsent(start.id(), task -> new ArrayList<>())
                .add(new Run(start.atMillis(), endMillis, start.token()));
    }
}
