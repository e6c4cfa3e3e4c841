package org.yuccabank.policy.workflow;

import java.util.Collection;
import java.util.Comparator;
import java.util.Optional;

/**
 * Puts filling tasks beside serving ones as far as their pressure allows, and packs serving tasks
 * so that whole workers stay free for those that press much. Answers the load in which filling
 * tasks need the processors that serving ones leave unused, while some images multiply the tail
 * latency beside them. Immutable.
 *
 * <p>A filling task waits rather than join a worker whose processors are in use or whose serving
 * tasks would miss their targets. A worker without pressure takes any image, as the agent can slow
 * a single task down.
 */
public final class PressureChoice implements WorkerChoice {

    /** Images below this pressure leave workers without serving tasks to the others. */
    private static final double LIGHT_PRESSURE = 0.08;

    /** A task that is alone in pressing may be slowed down to this part of its speed. */
    private static final double LEAST_SPEED = 0.6;

    /** A filling task starts where this part of the processors that it wants is idle. */
    private static final double LEAST_IDLE_SHARE = 0.75;

    private static final Comparator<WorkerRoom> MOST_IDLE =
            Comparator.comparingLong(WorkerRoom::idleMillis).reversed();

    private static final Comparator<WorkerRoom> FOR_SERVING =
            Comparator.comparingDouble(WorkerRoom::pressure)
                    .thenComparing(Comparator.comparingInt(WorkerRoom::serving).reversed())
                    .thenComparing(WorkerRoom::freeShare);

    private static final Comparator<WorkerRoom> FOR_LIGHT =
            Comparator.comparing((WorkerRoom room) -> room.serving() == 0).thenComparing(MOST_IDLE);

    private static final Comparator<WorkerRoom> FOR_HEAVY =
            Comparator.comparing((WorkerRoom room) -> room.serving() > 0)
                    .thenComparing(Comparator.comparingDouble(WorkerRoom::bearableMore).reversed())
                    .thenComparing(MOST_IDLE);

    private static final Comparator<WorkerRoom> FOR_PLAIN =
            Comparator.comparing((WorkerRoom room) -> room.serving() == 0)
                    .thenComparing(Comparator.comparingDouble(WorkerRoom::freeShare).reversed());

    @Override
    public Optional<WorkerRoom> choose(WaitingTask task, Collection<WorkerRoom> rooms) {
        Optional<String> rack = task.constraints().preferredRack();
        Comparator<WorkerRoom> near =
                Comparator.comparing(room -> rack.isPresent() && !rack.get().equals(room.rack()));
        return rooms.stream()
                .filter(room -> room.admits(task))
                .filter(room -> isBearable(task, room))
                .min(near.thenComparing(order(task)).thenComparing(WorkerRoom::workerId));
    }

    private static Comparator<WorkerRoom> order(WaitingTask task) {
        return switch (task.load().kind()) {
            case SERVING -> FOR_SERVING;
            case PLAIN -> FOR_PLAIN;
            case FILLING -> task.load().pressure() < LIGHT_PRESSURE ? FOR_LIGHT : FOR_HEAVY;
        };
    }

    private static boolean isBearable(WaitingTask task, WorkerRoom room) {
        if (task.load().kind() != WaitingTask.LoadKind.FILLING) {
            return true;
        }
        boolean idle = room.idleMillis() >= LEAST_IDLE_SHARE * task.load().usedMillis();
        boolean alone = room.pressure() < LIGHT_PRESSURE;
        double needed = (alone ? LEAST_SPEED : 1) * task.load().pressure();
        return idle && needed <= room.bearableMore();
    }
}
