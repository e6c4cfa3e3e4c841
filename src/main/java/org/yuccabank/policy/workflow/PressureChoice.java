package org.yuccabank.policy.workflow;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;

/**
 * Puts filling tasks beside serving ones as far as these bear it, and serving tasks beside others
 * of their image. Answers the load in which serving tasks reserve most of the fleet, filling tasks
 * need the processors that these leave unused, and some pairs of images multiply the tail latency.
 * Immutable.
 *
 * <p>A filling image joins a worker if every serving image there bears it, so that a worker with
 * one serving image is open to several times as many filling images as one with five. Serving tasks
 * that may not stand together share workers with others of this kind.
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

    /** Pressures that differ by less do not decide where a serving task starts. */
    private static final double PRESSURE_STEP = 0.15;

    /** The serving task closes the worker to no further filling image. */
    private static final int SAME_IMAGE = 0;

    /** The worker is empty, or shared and the task is one of those that share workers. */
    private static final int FITTING = 1;

    /** The worker is shared though the task could stand with its mates, or the other way round. */
    private static final int UNFITTING = 2;

    /** The worker has served one image up to now. */
    private static final int OTHER_IMAGE = 3;

    private static final int UNNOTICED = 0;
    private static final int ALONE = 1;
    private static final int PRESSING = 2;

    /** A room with what decides about it, worked out once. */
    private record Scored(WorkerRoom room, boolean far, double first, double second, double third) {

        /** The least of each figure is best. */
        private static final Comparator<Scored> BEST_FIRST =
                Comparator.comparing(Scored::far)
                        .thenComparingDouble(Scored::first)
                        .thenComparingDouble(Scored::second)
                        .thenComparingDouble(Scored::third)
                        .thenComparing(scored -> scored.room().workerId());
    }

    @Override
    public Optional<WorkerRoom> choose(WaitingTask task, Collection<WorkerRoom> rooms) {
        return rooms.stream()
                .filter(room -> isEligible(task, room))
                .map(room -> score(task, room))
                .min(Scored.BEST_FIRST)
                .map(Scored::room);
    }

    /** A reservation changes the score of its own room only, so each room is scored once. */
    @Override
    public List<WorkerRoom> reserve(WaitingTask task, int count, Collection<WorkerRoom> rooms) {
        PriorityQueue<Scored> best = new PriorityQueue<>(Scored.BEST_FIRST);
        for (WorkerRoom room : rooms) {
            if (isEligible(task, room)) {
                best.add(score(task, room));
            }
        }
        List<WorkerRoom> chosen = new ArrayList<>();
        while (chosen.size() < count && !best.isEmpty()) {
            WorkerRoom room = best.remove().room();
            room.reserve(task.stepKey(), task.resources(), task.load());
            chosen.add(room);
            if (isEligible(task, room)) {
                best.add(score(task, room));
            }
        }
        return chosen;
    }

    private static boolean isEligible(WaitingTask task, WorkerRoom room) {
        return room.admits(task) && isBearable(task, room);
    }

    private static Scored score(WaitingTask task, WorkerRoom room) {
        Optional<String> rack = task.constraints().preferredRack();
        boolean far = rack.isPresent() && !rack.get().equals(room.rack());
        String image = task.load().image();
        return switch (task.load().kind()) {
            case SERVING ->
                    new Scored(
                            room,
                            far,
                            Math.floor(room.pressureOn(image) / PRESSURE_STEP),
                            company(task, room),
                            room.freeShare());
            case PLAIN -> new Scored(room, far, room.serving() == 0 ? 1 : 0, -room.freeShare(), 0);
            case FILLING -> {
                int rank = rank(room, image);
                double headroom = rank == PRESSING ? room.headroomWith(image, 1) : 0;
                yield new Scored(room, far, rank, -headroom, -room.idleMillis());
            }
        };
    }

    /** How well a serving task fits to those that are there. */
    private static int company(WaitingTask task, WorkerRoom room) {
        if (room.serves(task.load().image())) {
            return SAME_IMAGE;
        }
        if (room.isShared()) {
            return task.load().apart() ? FITTING : UNFITTING;
        }
        if (room.serving() == 0) {
            return task.load().apart() ? UNFITTING : FITTING;
        }
        return OTHER_IMAGE;
    }

    /** Serving tasks that hardly notice the task come first, then workers without any. */
    private static int rank(WorkerRoom room, String image) {
        if (room.serving() == 0) {
            return ALONE;
        }
        return room.addedPressure(image) < LIGHT_PRESSURE ? UNNOTICED : PRESSING;
    }

    private static boolean isBearable(WaitingTask task, WorkerRoom room) {
        if (task.load().kind() != WaitingTask.LoadKind.FILLING) {
            return true;
        }
        if (room.idleMillis() < LEAST_IDLE_SHARE * task.load().usedMillis()) {
            return false;
        }
        String image = task.load().image();
        double speed = room.isPressed() ? 1 : LEAST_SPEED;
        return rank(room, image) != PRESSING || room.headroomWith(image, speed) >= 0;
    }
}
