package org.yuccabank.bench;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;

/**
 * Pending batch tasks, queued by team and kind. Not thread-safe.
 *
 * <p>With fair sharing, the team that holds the least goes first; otherwise the oldest task does.
 */
final class PendingTasks {

    private final Deque<Entry>[][] queues;
    private final boolean fairShare;
    private final double[] reservedMillisByTeam;
    private final double[] pendingCores;
    private long sequence;
    private int size;

    private record Entry(long order, BenchTask task) {}

    @SuppressWarnings({"unchecked", "rawtypes"})
    PendingTasks(int teams, int kinds, boolean fairShare, double[] reservedMillisByTeam) {
        this.fairShare = fairShare;
        this.reservedMillisByTeam = reservedMillisByTeam;
        this.pendingCores = new double[teams];
        queues = new Deque[teams][kinds];
        for (Deque[] team : queues) {
            for (int kind = 0; kind < kinds; kind++) {
                team[kind] = new ArrayDeque<Entry>();
            }
        }
    }

    void add(BenchTask task) {
        queues[task.team][task.kind].addLast(new Entry(sequence++, task));
        pendingCores[task.team] += task.cores;
        size++;
    }

    /** Returns a polled task to the queue, ahead of newer tasks. */
    void requeue(BenchTask task) {
        queues[task.team][task.kind].addFirst(new Entry(-sequence, task));
        pendingCores[task.team] += task.cores;
        size++;
    }

    int size() {
        return size;
    }

    /** Returns the true pending demand of a team in cores. Used only to measure the quota error. */
    double pendingCores(int team) {
        return pendingCores[team];
    }

    /** Removes and returns the next task whose kind is not skipped. */
    Optional<BenchTask> poll(boolean[] skippedKinds) {
        int bestTeam = -1;
        int bestKind = -1;
        double lowestRank = Double.POSITIVE_INFINITY;
        for (int team = 0; team < queues.length; team++) {
            if (fairShare && reservedMillisByTeam[team] >= lowestRank) {
                continue;
            }
            for (int kind = 0; kind < skippedKinds.length; kind++) {
                if (skippedKinds[kind]) {
                    continue;
                }
                dropCancelled(queues[team][kind]);
                Entry head = queues[team][kind].peekFirst();
                if (head == null) {
                    continue;
                }
                double rank = fairShare ? reservedMillisByTeam[team] : head.order();
                if (rank < lowestRank) {
                    lowestRank = rank;
                    bestTeam = team;
                    bestKind = kind;
                }
            }
        }
        if (bestTeam < 0) {
            return Optional.empty();
        }
        return Optional.of(removeHead(queues[bestTeam][bestKind]));
    }

    private void dropCancelled(Deque<Entry> queue) {
        while (!queue.isEmpty() && queue.peekFirst().task().cancelled) {
            removeHead(queue);
        }
    }

    private BenchTask removeHead(Deque<Entry> queue) {
        BenchTask task = queue.pollFirst().task();
        pendingCores[task.team] -= task.cores;
        size--;
        return task;
    }
}
