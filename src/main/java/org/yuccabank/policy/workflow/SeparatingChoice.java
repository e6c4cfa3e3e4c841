package org.yuccabank.policy.workflow;

import java.util.Collection;
import java.util.Comparator;
import java.util.Optional;

/**
 * Keeps tasks that serve and tasks that fill on different workers while there is room, and spreads
 * the rest. Answers the load in which filling tasks slow down serving ones. Immutable.
 */
public final class SeparatingChoice implements WorkerChoice {

    private static final Comparator<WorkerRoom> MOST_FREE =
            Comparator.comparingDouble(WorkerRoom::freeShare).reversed();

    private static final Comparator<WorkerRoom> FOR_SERVING =
            Comparator.comparingInt(WorkerRoom::filling)
                    .thenComparing(Comparator.comparingInt(WorkerRoom::serving).reversed())
                    .thenComparing(MOST_FREE);

    private static final Comparator<WorkerRoom> FOR_FILLING =
            Comparator.comparingInt(WorkerRoom::serving).thenComparing(MOST_FREE);

    @Override
    public Optional<WorkerRoom> choose(WaitingTask task, Collection<WorkerRoom> rooms) {
        Comparator<WorkerRoom> order =
                switch (task.loadKind()) {
                    case SERVING -> FOR_SERVING;
                    case FILLING -> FOR_FILLING;
                    case PLAIN -> MOST_FREE;
                };
        Optional<String> rack = task.constraints().preferredRack();
        Comparator<WorkerRoom> near =
                Comparator.comparing(room -> rack.isPresent() && !rack.get().equals(room.rack()));
        return rooms.stream()
                .filter(room -> room.admits(task))
                .min(near.thenComparing(order).thenComparing(WorkerRoom::workerId));
    }
}
