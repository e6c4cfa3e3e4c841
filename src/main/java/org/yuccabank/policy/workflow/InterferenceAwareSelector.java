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
public final class InterferenceAwareSelector implements WorkerSelector {

    /** Tasks that press less beside the serving ones of a worker leave free workers to others. */
    private static final double NEGLIGIBLE_PRESSURE = 0.04;

    /** A task that is alone in pressing may be slowed down to this part of its speed. */
    private static final double MIN_START_SPEED = 0.8;

    /** A filling task starts where this part of the processors that it wants is idle. */
    private static final double MIN_IDLE_SHARE = 0.75;

    /** Pressures that differ by less do not decide where a serving task starts. */
    private static final double PRESSURE_BUCKET = 0.15;

    /** The serving task closes the worker to no further filling image. */
    private static final int SAME_IMAGE = 0;

    /** The worker is empty, or shared and the task is one of those that share workers. */
    private static final int AFFINITY_MATCH = 1;

    /** The worker is shared though the task could stand with its mates, or the other way round. */
    private static final int AFFINITY_MISMATCH = 2;

    /** The worker has served one image up to now. */
    private static final int OTHER_IMAGE = 3;

    private static final int NEGLIGIBLE_INTERFERENCE = 0;
    private static final int NO_SERVING_TASKS = 1;
    private static final int NOTICEABLE_INTERFERENCE = 2;

    /** A room with what decides about it, worked out once. */
    private record ScoredRoom(
            WorkerRoom room, boolean otherRack, double primary, double secondary, double tertiary) {

        /** The least of each figure is best. */
        private static final Comparator<ScoredRoom> BEST_FIRST =
                Comparator.comparing(ScoredRoom::otherRack)
                        .thenComparingDouble(ScoredRoom::primary)
                        .thenComparingDouble(ScoredRoom::secondary)
                        .thenComparingDouble(ScoredRoom::tertiary)
                        .thenComparing(scored -> scored.room().workerId());
    }

    @Override
    public Optional<WorkerRoom> choose(WaitingTask task, Collection<WorkerRoom> rooms) {
        return rooms.stream()
                .filter(room -> isEligible(task, room))
                .map(room -> score(task, room))
                .min(ScoredRoom.BEST_FIRST)
                .map(ScoredRoom::room);
    }

    /** A reservation changes the score of its own room only, so each room is scored once. */
    @Override
    public List<WorkerRoom> reserve(WaitingTask task, int count, Collection<WorkerRoom> rooms) {
        PriorityQueue<ScoredRoom> best = new PriorityQueue<>(ScoredRoom.BEST_FIRST);
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
        return room.admits(task) && isWithinHeadroom(task, room);
    }

    private static ScoredRoom score(WaitingTask task, WorkerRoom room) {
        Optional<String> rack = task.constraints().preferredRack();
        boolean otherRack = rack.isPresent() && !rack.get().equals(room.rack());
        String image = task.load().image();
        return switch (task.load().kind()) {
            case SERVING ->
                    new ScoredRoom(
                            room,
                            otherRack,
                            Math.floor(room.pressureOn(image) / PRESSURE_BUCKET),
                            affinityRank(task, room),
                            room.freeShare());
            case PLAIN ->
                    new ScoredRoom(
                            room,
                            otherRack,
                            room.servingCount() == 0 ? 1 : 0,
                            -room.freeShare(),
                            0);
            case FILLING -> {
                int rank = interferenceRank(room, image);
                double headroom = rank == NOTICEABLE_INTERFERENCE ? room.headroomWith(image, 1) : 0;
                yield new ScoredRoom(room, otherRack, rank, -headroom, -room.idleProcessorMillis());
            }
        };
    }

    /** How well a serving task fits to those that are there. */
    private static int affinityRank(WaitingTask task, WorkerRoom room) {
        if (room.serves(task.load().image())) {
            return SAME_IMAGE;
        }
        if (room.hasAntiAffinity()) {
            return task.load().antiAffinity() ? AFFINITY_MATCH : AFFINITY_MISMATCH;
        }
        if (room.servingCount() == 0) {
            return task.load().antiAffinity() ? AFFINITY_MISMATCH : AFFINITY_MATCH;
        }
        return OTHER_IMAGE;
    }

    /** Serving tasks that hardly notice the task come first, then workers without any. */
    private static int interferenceRank(WorkerRoom room, String image) {
        if (room.servingCount() == 0) {
            return NO_SERVING_TASKS;
        }
        return room.maxAddedPressure(image) < NEGLIGIBLE_PRESSURE
                ? NEGLIGIBLE_INTERFERENCE
                : NOTICEABLE_INTERFERENCE;
    }

    private static boolean isWithinHeadroom(WaitingTask task, WorkerRoom room) {
        if (task.load().kind() != WaitingTask.LoadKind.FILLING) {
            return true;
        }
        if (room.idleProcessorMillis() < MIN_IDLE_SHARE * task.load().expectedProcessorMillis()) {
            return false;
        }
        String image = task.load().image();
        double speed = room.hasNoticeablePressure() ? 1 : MIN_START_SPEED;
        return interferenceRank(room, image) != NOTICEABLE_INTERFERENCE
                || room.headroomWith(image, speed) >= 0;
    }
}
