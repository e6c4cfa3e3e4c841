package org.yuccabank.bench;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;

/**
 * Tasks that wait, by team and kind. Not thread-safe.
 *
 * <p>With fair shares the team with the least share goes first, otherwise the oldest task.
 */
final class PendingTasks {

    private final Deque<Entry>[][] queues;
    private final boolean fair;
    private final double[] held;
    private final double[] waiting;
    private long sequence;
    private int size;

    private record Entry(long order, BenchTask task) {}

    @SuppressWarnings({"unchecked", "rawtypes"})
    PendingTasks(int teams, int kinds, boolean fair, double[] held) {
        this.fair = fair;
        this.held = held;
        this.waiting = new double[teams];
        queues = new Deque[teams][kinds];
        for (Deque[] team : queues) {
            for (int kind = 0; kind < kinds; kind++) {
                team[kind] = new ArrayDeque<Entry>();
            }
        }
    }

    void add(BenchTask task) {
        queues[task.team][task.kind].addLast(new Entry(sequence++, task));
        waiting[task.team] += task.cores;
        size++;
    }

    /** Puts back a task that was taken, ahead of younger ones. */
    void putBack(BenchTask task) {
        queues[task.team][task.kind].addFirst(new Entry(-sequence, task));
        waiting[task.team] += task.cores;
        size++;
    }

    int size() {
        return size;
    }

    /** True demand of a team in cores; read by the meter only. */
    double waiting(int team) {
        return waiting[team];
    }

    /** Takes the next task of a kind that is not skipped. */
    Optional<BenchTask> take(boolean[] skipped) {
        int bestTeam = -1;
        int bestKind = -1;
        double best = Double.POSITIVE_INFINITY;
        for (int team = 0; team < queues.length; team++) {
            if (fair && held[team] >= best) {
                continue;
            }
            for (int kind = 0; kind < skipped.length; kind++) {
                if (skipped[kind]) {
                    continue;
                }
                dropCancelled(queues[team][kind]);
                Entry head = queues[team][kind].peekFirst();
                if (head == null) {
                    continue;
                }
                double rank = fair ? held[team] : head.order();
                if (rank < best) {
                    best = rank;
                    bestTeam = team;
                    bestKind = kind;
                }
            }
        }
        if (bestTeam < 0) {
            return Optional.empty();
        }
        return Optional.of(pop(queues[bestTeam][bestKind]));
    }

    private void dropCancelled(Deque<Entry> queue) {
        while (!queue.isEmpty() && queue.peekFirst().task().cancelled) {
            pop(queue);
        }
    }

    private BenchTask pop(Deque<Entry> queue) {
        BenchTask task = queue.pollFirst().task();
        waiting[task.team] -= task.cores;
        size--;
        return task;
    }
}
