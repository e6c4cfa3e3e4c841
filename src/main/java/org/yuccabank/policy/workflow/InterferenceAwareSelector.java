package org.yuccabank.policy.workflow;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;

/**
 * Colocates best-effort tasks with serving tasks within the latency headroom of the latter, and
 * serving tasks with others of the same image. Serving tasks reserve most of the fleet, so
 * best-effort tasks depend on the processors that these leave idle, while some pairs of a serving
 * and a best-effort image multiply the tail latency. Immutable.
 *
 * <p>A best-effort task is placed on a worker only if every serving image there has headroom for it
 * or the added pressure is negligible. A worker with one serving image therefore accepts several
 * times as many best-effort images as one with five. Serving tasks with anti-affinity are placed on
 * workers that already run such tasks.
 *
 * <p>A best-effort task waits if the only candidates have busy processors or serving tasks that
 * would miss their targets. A worker without noticeable pressure accepts an image that slightly
 * exceeds the headroom, because the agent can throttle a single task.
 */
public final class InterferenceAwareSelector implements WorkerSelector {

    /**
     * Best-effort tasks that add less pressure prefer workers with serving tasks and leave the
     * workers without serving tasks to others.
     */
    private static final double NEGLIGIBLE_PRESSURE = 0.04;

    /**
     * Share of full speed at which a task must fit the headroom of a worker without noticeable
     * pressure.
     */
    private static final double MINIMUM_START_SPEED = 0.8;

    /** Share of its expected processor use that must be idle for a best-effort task to start. */
    private static final double MINIMUM_IDLE_SHARE = 0.75;

    /**
     * Bucket width for comparing the pressure on serving tasks; smaller differences are ignored.
     */
    private static final double PRESSURE_BUCKET = 0.15;

    /**
     * The worker already serves the image, so the task excludes no further best-effort images from
     * it.
     */
    private static final int SAME_IMAGE = 0;

    /**
     * The worker and the task both have anti-affinity, or the task has none and the worker has no
     * serving tasks.
     */
    private static final int AFFINITY_MATCH = 1;

    /**
     * The worker has anti-affinity and the task has none, or the task has it and the worker has no
     * serving tasks.
     */
    private static final int AFFINITY_MISMATCH = 2;

    /** The worker serves only other images. */
    private static final int OTHER_IMAGE = 3;

    private static final int NEGLIGIBLE_INTERFERENCE = 0;
    private static final int NO_SERVING_TASKS = 1;
    private static final int NOTICEABLE_INTERFERENCE = 2;

    /** A candidate worker with its precomputed sort keys; lower is better. */
    private record ScoredWorker(
            WorkerCapacity worker,
            boolean otherRack,
            double primary,
            double secondary,
            double tertiary) {

        private static final Comparator<ScoredWorker> BEST_FIRST =
                Comparator.comparing(ScoredWorker::otherRack)
                        .thenComparingDouble(ScoredWorker::primary)
                        .thenComparingDouble(ScoredWorker::secondary)
                        .thenComparingDouble(ScoredWorker::tertiary)
                        .thenComparing(scored -> scored.worker().workerId());
    }

    @Override
    public Optional<WorkerCapacity> select(
            WaitingTask task, Collection<WorkerCapacity> candidates) {
        return candidates.stream()
                .filter(worker -> isEligible(task, worker))
                .map(worker -> score(task, worker))
                .min(ScoredWorker.BEST_FIRST)
                .map(ScoredWorker::worker);
    }

    /**
     * {@inheritDoc}
     *
     * <p>A reservation changes only the score of its own worker, so each worker is scored once and
     * again after each reservation on it.
     */
    @Override
    public List<WorkerCapacity> reserve(
            WaitingTask task, int count, Collection<WorkerCapacity> candidates) {
        PriorityQueue<ScoredWorker> best = new PriorityQueue<>(ScoredWorker.BEST_FIRST);
        for (WorkerCapacity worker : candidates) {
            if (isEligible(task, worker)) {
                best.add(score(task, worker));
            }
        }
        List<WorkerCapacity> selected = new ArrayList<>();
        while (selected.size() < count && !best.isEmpty()) {
            WorkerCapacity worker = best.remove().worker();
            worker.reserve(task.stepKey(), task.resources(), task.load());
            selected.add(worker);
            if (isEligible(task, worker)) {
                best.add(score(task, worker));
            }
        }
        return selected;
    }

    private static boolean isEligible(WaitingTask task, WorkerCapacity worker) {
        return worker.admits(task) && isWithinHeadroom(task, worker);
    }

    private static ScoredWorker score(WaitingTask task, WorkerCapacity worker) {
        Optional<String> rack = task.constraints().preferredRack();
        boolean otherRack = rack.isPresent() && !rack.get().equals(worker.rack());
        String image = task.load().image();
        return switch (task.load().kind()) {
            case SERVING ->
                    new ScoredWorker(
                            worker,
                            otherRack,
                            Math.floor(worker.pressureOn(image) / PRESSURE_BUCKET),
                            affinityRank(task, worker),
                            worker.freeShare());
            case PLAIN ->
                    new ScoredWorker(
                            worker,
                            otherRack,
                            worker.servingCount() == 0 ? 1 : 0,
                            -worker.freeShare(),
                            0);
            case BEST_EFFORT -> {
                int rank = interferenceRank(worker, image);
                double headroom =
                        rank == NOTICEABLE_INTERFERENCE ? worker.headroomWith(image, 1) : 0;
                yield new ScoredWorker(
                        worker, otherRack, rank, -headroom, -worker.idleProcessorMillis());
            }
        };
    }

    /** Ranks how well a serving task matches the serving tasks on a worker; lower is better. */
    private static int affinityRank(WaitingTask task, WorkerCapacity worker) {
        if (worker.serves(task.load().image())) {
            return SAME_IMAGE;
        }
        if (worker.hasAntiAffinity()) {
            return task.load().antiAffinity() ? AFFINITY_MATCH : AFFINITY_MISMATCH;
        }
        if (worker.servingCount() == 0) {
            return task.load().antiAffinity() ? AFFINITY_MISMATCH : AFFINITY_MATCH;
        }
        return OTHER_IMAGE;
    }

    /**
     * Ranks the interference of a best-effort image: negligible first, then workers without serving
     * tasks.
     */
    private static int interferenceRank(WorkerCapacity worker, String image) {
        if (worker.servingCount() == 0) {
            return NO_SERVING_TASKS;
        }
        return worker.maximumAddedPressure(image) < NEGLIGIBLE_PRESSURE
                ? NEGLIGIBLE_INTERFERENCE
                : NOTICEABLE_INTERFERENCE;
    }

    private static boolean isWithinHeadroom(WaitingTask task, WorkerCapacity worker) {
        if (task.load().kind() != WaitingTask.LoadKind.BEST_EFFORT) {
            return true;
        }
        if (worker.idleProcessorMillis()
                < MINIMUM_IDLE_SHARE * task.load().expectedProcessorMillis()) {
            return false;
        }
        String image = task.load().image();
        double speed = worker.hasNoticeablePressure() ? 1 : MINIMUM_START_SPEED;
        return interferenceRank(worker, image) != NOTICEABLE_INTERFERENCE
                || worker.headroomWith(image, speed) >= 0;
    }
}
