package org.yuccabank.policy.workflow;

import java.util.Collection;
import java.util.Comparator;
import java.util.Optional;

/**
 * Puts filling tasks beside serving ones as far as these bear it, and packs serving tasks so that
 * whole workers stay free for images that press much. Answers the load in which filling tasks need
 * the processors that serving ones leave unused, while some pairs of images multiply the tail
 * latency. Immutable.
 *
 * <p>A filling task waits rather than join a worker whose processors are in use or whose serving
 * tasks would miss their targets. A worker where nothing presses takes an image that presses a
 * little more than its serving tasks bear, as the agent can slow a single task down.
 */
public final class PressureChoice implements WorkerChoice {

    /** Tasks that press less beside the serving ones of a worker leave free workers to others. */
    private static final double LIGHT_PRESSURE = 0.04;

    /** A task that is alone in pressing may be slowed down to this part of its speed. */
    private static final double LEAST_SPEED = 0.8;

    /** A filling task starts where this part of the processors that it wants is idle. */
    private static final double LEAST_IDLE_SHARE = 0.75;

    private static final Comparator<WorkerRoom> MOST_IDLE =
            Comparator.comparingLong(WorkerRoom::idleMillis).reversed();

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
        String image = task.load().image();
        return switch (task.load().kind()) {
            case SERVING ->
                    Comparator.comparingDouble((WorkerRoom room) -> room.pressureOn(image))
                            .thenComparing(Comparator.comparingInt(WorkerRoom::serving).reversed())
                            .thenComparing(WorkerRoom::freeShare);
            case PLAIN -> FOR_PLAIN;
            case FILLING ->
                    Comparator.comparingInt((WorkerRoom room) -> rank(room, image))
                            .thenComparing(
                                    Comparator.comparingDouble(
                                                    (WorkerRoom room) ->
                                                            headroomThatCounts(room, image))
                                            .reversed())
                            .thenComparing(MOST_IDLE);
        };
    }

    /** Serving tasks that hardly notice the task come first, then workers without any. */
    private static int rank(WorkerRoom room, String image) {
        if (room.serving() == 0) {
            return 1;
        }
        return room.addedPressure(image) < LIGHT_PRESSURE ? 0 : 2;
    }

    /** Where the task hardly presses, idle processors count and headroom does not. */
    private static double headroomThatCounts(WorkerRoom room, String image) {
        return rank(room, image) == 2 ? room.headroomWith(image, 1) : 0;
    }

    private static boolean isBearable(WaitingTask task, WorkerRoom room) {
        if (task.load().kind() != WaitingTask.LoadKind.FILLING) {
            return true;
        }
        String image = task.load().image();
        boolean idle = room.idleMillis() >= LEAST_IDLE_SHARE * task.load().usedMillis();
        boolean light = room.addedPressure(image) < LIGHT_PRESSURE;
        double speed = room.isPressed() ? 1 : LEAST_SPEED;
        return idle && (light || room.headroomWith(image, speed) >= 0);
    }
}
