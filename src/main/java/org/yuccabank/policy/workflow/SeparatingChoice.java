package org.yuccabank.policy.workflow;

import java.util.Collection;
import java.util.Comparator;
import java.util.Optional;

/**
 * Keeps tasks that fill away from workers with tasks that serve, and packs the others so that whole
 * workers stay free for filling. Answers the load in which filling tasks multiply the tail latency
 * of serving ones beside them. Immutable.
 *
 * <p>A filling task runs only on workers with the fewest serving tasks and waits for room there, so
 * that a shortage of workers without any harms as few serving tasks as possible.
 */
public final class SeparatingChoice implements WorkerChoice {

    private static final Comparator<WorkerRoom> MOST_FREE =
            Comparator.comparingDouble(WorkerRoom::freeShare).reversed();

    private static final Comparator<WorkerRoom> MOST_SERVING =
            Comparator.comparingInt(WorkerRoom::serving).reversed();

    private static final Comparator<WorkerRoom> FOR_SERVING =
            Comparator.comparingInt(WorkerRoom::filling)
                    .thenComparing(MOST_SERVING)
                    .thenComparing(WorkerRoom::freeShare);

    private static final Comparator<WorkerRoom> FOR_FILLING =
            Comparator.comparingInt(WorkerRoom::serving).thenComparing(MOST_FREE);

    private static final Comparator<WorkerRoom> FOR_PLAIN =
            Comparator.comparing((WorkerRoom room) -> room.serving() == 0).thenComparing(MOST_FREE);

    @Override
    public Optional<WorkerRoom> choose(WaitingTask task, Collection<WorkerRoom> rooms) {
        Comparator<WorkerRoom> order =
                switch (task.loadKind()) {
                    case SERVING -> FOR_SERVING;
                    case FILLING -> FOR_FILLING;
                    case PLAIN -> FOR_PLAIN;
                };
        Optional<String> rack = task.constraints().preferredRack();
        Comparator<WorkerRoom> near =
                Comparator.comparing(room -> rack.isPresent() && !rack.get().equals(room.rack()));
        int fewest = rooms.stream().mapToInt(WorkerRoom::serving).min().orElse(0);
        return rooms.stream()
                .filter(room -> room.admits(task))
                .filter(room -> !isSpared(task, room, fewest))
                .min(near.thenComparing(order).thenComparing(WorkerRoom::workerId));
    }

    private static boolean isSpared(WaitingTask task, WorkerRoom room, int fewestServing) {
        return task.loadKind() == WaitingTask.LoadKind.FILLING && room.serving() > fewestServing;
    }
}
