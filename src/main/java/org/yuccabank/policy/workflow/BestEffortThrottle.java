package org.yuccabank.policy.workflow;

import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Throttles the best-effort tasks of a worker to keep the tail latency of its serving tasks below
 * target. It reduces speed at once, starting with the tasks that interfere most with a serving
 * image over its limit, and restores speed in steps. The target is thus met even if the load of the
 * serving tasks changes within seconds. Not thread-safe.
 */
public final class BestEffortThrottle {

    /** Speed of a task that is not throttled, in percent. */
    public static final int FULL_SPEED_PERCENT = 100;

    /** Free headroom required before speed is restored. The hysteresis prevents oscillation. */
    private static final double RESTORE_MARGIN = 0.06;

    /** Headroom that a cut frees beyond the deficit, because the load may be rising. */
    private static final double CUT_MARGIN = 0.04;

    /** Share of the free headroom that one step may use to restore speed. */
    private static final double RESTORED_SHARE = 0.6;

    /**
     * Minimum interval between two changes. A latency sample covers the last half second, so an
     * earlier change would be based on outdated data.
     */
    private static final long MINIMUM_CHANGE_INTERVAL_MILLIS = 500;

    /**
     * Lower bound of the assumed pressure, so that a task whose pressure is underestimated is
     * throttled too once all others are stopped.
     */
    private static final double MINIMUM_PRESSURE = 0.02;

    /**
     * A task that would run slower than this is stopped: its progress would not justify its
     * pressure.
     */
    private static final int MINIMUM_SPEED_PERCENT = 5;

    /**
     * Factor by which each consecutive cut grows, because a cut is too small if the pressures are
     * overestimated.
     */
    private static final double CUT_GROWTH = 2;

    private final IdleLatency idleLatency = new IdleLatency();
    private double cutFactor = 1 / CUT_GROWTH;
    private long changedAtMillis = Long.MIN_VALUE / 2;

    /**
     * A best-effort task. Immutable.
     *
     * @param key identifier of the task
     * @param image its image
     * @param percent its current speed, 0 to 100
     * @param progressPercent its progress, 0 to 100
     * @param <K> type of the identifier
     */
    public record BestEffortTask<K>(K key, String image, int percent, int progressPercent) {}

    /**
     * Decides the speed of the best-effort tasks.
     *
     * @param samples latency samples of the serving tasks on the same worker
     * @param tasks the best-effort tasks
     * @param pressures estimated pressure of each image pair
     * @param nowMillis current time of a monotonic clock
     * @param <K> type of the task identifiers
     * @return the new speed in percent of each task whose speed changes
     */
    public <K> Map<K, Integer> decide(
            List<PressureEstimates.ServingSample> samples,
            List<BestEffortTask<K>> tasks,
            Pressures pressures,
            long nowMillis) {
        Map<String, Double> freeByImage = new LinkedHashMap<>();
        samples.forEach(each -> freeByImage.merge(each.image(), freeHeadroom(each), Math::min));
        if (tasks.isEmpty() || nowMillis - changedAtMillis < MINIMUM_CHANGE_INTERVAL_MILLIS) {
            return Map.of();
        }
        SpeedPlan<K> speeds = new SpeedPlan<>(tasks, pressures);
        boolean missed = freeByImage.values().stream().anyMatch(each -> each < 0);
        cutFactor = missed ? cutFactor * CUT_GROWTH : 1 / CUT_GROWTH;
        freeByImage.forEach(
                (image, headroom) -> {
                    if (headroom < 0) {
                        boolean targetMissed = missesTarget(samples, image);
                        speeds.cut(image, cutFactor * (CUT_MARGIN - headroom), targetMissed);
                    }
                });
        speeds.restore(freeByImage);
        Map<K, Integer> changes = speeds.changes();
        if (!changes.isEmpty()) {
            changedAtMillis = nowMillis;
        }
        return changes;
    }

    private static boolean missesTarget(
            List<PressureEstimates.ServingSample> samples, String image) {
        return samples.stream()
                .filter(each -> each.image().equals(image))
                .anyMatch(each -> each.latencyMillis() > each.targetMillis());
    }

    /** Returns the unused headroom of a serving task, negative above its latency setpoint. */
    private double freeHeadroom(PressureEstimates.ServingSample sample) {
        double idleMillis =
                idleLatency.observe(sample.image(), sample.latencyMillis(), sample.targetMillis());
        return Headroom.usable(idleMillis, sample.targetMillis())
                - Headroom.used(idleMillis, sample.latencyMillis());
    }

    /** The speeds planned in one decision. Not thread-safe. */
    private static final class SpeedPlan<K> {

        private final List<BestEffortTask<K>> tasks;
        private final Pressures pressures;
        private final Map<K, Integer> speedPercents = new LinkedHashMap<>();

        private SpeedPlan(List<BestEffortTask<K>> tasks, Pressures pressures) {
            this.tasks = tasks;
            this.pressures = pressures;
            tasks.forEach(each -> speedPercents.put(each.key(), each.percent()));
        }

        private double pressure(String servingImage, BestEffortTask<K> task) {
            return Math.max(MINIMUM_PRESSURE, pressures.pressure(servingImage, task.image()));
        }

        /**
         * Throttles the tasks that interfere most with a serving image. Tasks without known
         * interference are throttled only after all others are stopped and only while the target is
         * still missed.
         */
        private void cut(String servingImage, double needed, boolean targetMissed) {
            Comparator<BestEffortTask<K>> heaviestFirst =
                    Comparator.comparingDouble(
                            (BestEffortTask<K> each) -> -pressure(servingImage, each));
            List<BestEffortTask<K>> running =
                    tasks.stream()
                            .filter(each -> speedPercents.get(each.key()) > 0)
                            .sorted(heaviestFirst)
                            .toList();
            List<BestEffortTask<K>> interfering =
                    running.stream()
                            .filter(each -> pressure(servingImage, each) > MINIMUM_PRESSURE)
                            .toList();
            double remaining = needed;
            for (BestEffortTask<K> task :
                    interfering.isEmpty() && targetMissed ? running : interfering) {
                double pressure = pressure(servingImage, task);
                int before = speedPercents.get(task.key());
                double kept = Math.max(0, pressure * before / FULL_SPEED_PERCENT - remaining);
                int percent = (int) (FULL_SPEED_PERCENT * kept / pressure);
                percent = percent < MINIMUM_SPEED_PERCENT ? 0 : percent;
                if (remaining > 0 && percent < before) {
                    speedPercents.put(task.key(), percent);
                    remaining -= pressure * (before - percent) / FULL_SPEED_PERCENT;
                }
            }
        }

        /**
         * Restores the speed of tasks that interfere with no serving image short of headroom,
         * starting with the tasks closest to completion.
         */
        private void restore(Map<String, Double> freeByImage) {
            Map<String, Double> restorable = new LinkedHashMap<>();
            freeByImage.forEach(
                    (image, headroom) -> restorable.put(image, RESTORED_SHARE * headroom));
            Comparator<BestEffortTask<K>> furthestFirst =
                    Comparator.comparingInt((BestEffortTask<K> each) -> -each.progressPercent());
            for (BestEffortTask<K> task : tasks.stream().sorted(furthestFirst).toList()) {
                int before = speedPercents.get(task.key());
                if (before < task.percent() || before == FULL_SPEED_PERCENT) {
                    continue;
                }
                int percent =
                        before
                                + maximumRestore(
                                        task, freeByImage, restorable, FULL_SPEED_PERCENT - before);
                if (percent >= MINIMUM_SPEED_PERCENT && percent > before) {
                    speedPercents.put(task.key(), percent);
                    int gain = percent - before;
                    restorable.replaceAll(
                            (image, remaining) ->
                                    remaining - pressure(image, task) * gain / FULL_SPEED_PERCENT);
                }
            }
        }

        private int maximumRestore(
                BestEffortTask<K> task,
                Map<String, Double> freeByImage,
                Map<String, Double> restorable,
                int requested) {
            double maximum = requested;
            for (Map.Entry<String, Double> each : restorable.entrySet()) {
                boolean interferes =
                        pressures.pressure(each.getKey(), task.image()) >= MINIMUM_PRESSURE;
                boolean hasHeadroom = freeByImage.get(each.getKey()) > RESTORE_MARGIN;
                if (interferes && !hasHeadroom) {
                    return 0;
                }
                if (hasHeadroom) {
                    double percent =
                            FULL_SPEED_PERCENT * each.getValue() / pressure(each.getKey(), task);
                    maximum = Math.min(maximum, Math.max(0, percent));
                }
            }
            return (int) maximum;
        }

        private Map<K, Integer> changes() {
            Map<K, Integer> changes = new LinkedHashMap<>();
            for (BestEffortTask<K> task : tasks) {
                int percent = speedPercents.get(task.key());
                if (percent != task.percent()) {
                    changes.put(task.key(), percent);
                }
            }
            return changes;
        }
    }
}
