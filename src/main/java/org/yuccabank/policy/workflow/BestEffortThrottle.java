package org.yuccabank.policy.workflow;

import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Slows down the filling tasks of a worker as far as the serving tasks beside them need: cuts at
 * once, those that press most on what misses its target first, and gives back in steps. Answers the
 * load in which filling tasks press on serving ones whose own load swings within seconds. Not
 * thread-safe.
 */
public final class BestEffortThrottle {

    /** Speed of a task that is not slowed down, in percent. */
    public static final int FULL_SPEED_PERCENT = 100;

    /** Headroom that has to be free before speed is given back; keeps it from going to and fro. */
    private static final double RESTORE_MARGIN = 0.06;

    /** Headroom that a cut frees beyond what is needed, as load may be on the rise. */
    private static final double CUT_MARGIN = 0.04;

    /** Part of the free headroom that one step gives back. */
    private static final double RESTORED_SHARE = 0.6;

    /** Time between two changes: a figure covers the last half second. */
    private static final long MIN_CHANGE_INTERVAL_MILLIS = 500;

    /**
     * Least pressure that a task is taken to have, so that tasks whose estimates are too low are
     * slowed down as well when the others stand still.
     */
    private static final double MIN_PRESSURE = 0.02;

    /** A task below this speed stands still, as its progress is not worth its pressure. */
    private static final int MIN_SPEED_PERCENT = 5;

    /** Each further cut is this much larger, as the pressures may be overestimated. */
    private static final double CUT_GROWTH = 2;

    private final IdleLatency idleLatency = new IdleLatency();
    private double cutFactor = 1 / CUT_GROWTH;
    private long changedAtMillis = Long.MIN_VALUE / 2;

    /**
     * A filling task. Immutable.
     *
     * @param key names the task
     * @param image its image
     * @param percent its speed
     * @param progressPercent its progress
     * @param <K> type of the name
     */
    public record BestEffortTask<K>(K key, String image, int percent, int progressPercent) {}

    /**
     * Decides the speed of the filling tasks.
     *
     * @param served figures of the serving tasks beside them
     * @param tasks the filling tasks
     * @param pressures how much they press
     * @param nowMillis present time of a steady clock
     * @param <K> type of the names
     * @return percent of the speed of each filling task whose speed changes
     */
    public <K> Map<K, Integer> decide(
            List<PressureEstimates.ServingSample> served,
            List<BestEffortTask<K>> tasks,
            Pressures pressures,
            long nowMillis) {
        Map<String, Double> freeHeadroom = new LinkedHashMap<>();
        served.forEach(each -> freeHeadroom.merge(each.image(), freeHeadroom(each), Math::min));
        if (tasks.isEmpty() || nowMillis - changedAtMillis < MIN_CHANGE_INTERVAL_MILLIS) {
            return Map.of();
        }
        SpeedPlan<K> speeds = new SpeedPlan<>(tasks, pressures);
        boolean missed = freeHeadroom.values().stream().anyMatch(each -> each < 0);
        cutFactor = missed ? cutFactor * CUT_GROWTH : 1 / CUT_GROWTH;
        freeHeadroom.forEach(
                (image, headroom) -> {
                    if (headroom < 0) {
                        boolean targetMissed = missesTarget(served, image);
                        speeds.cut(image, cutFactor * (CUT_MARGIN - headroom), targetMissed);
                    }
                });
        speeds.restore(freeHeadroom);
        Map<K, Integer> changes = speeds.changes();
        if (!changes.isEmpty()) {
            changedAtMillis = nowMillis;
        }
        return changes;
    }

    private static boolean missesTarget(
            List<PressureEstimates.ServingSample> served, String image) {
        return served.stream()
                .filter(each -> each.image().equals(image))
                .anyMatch(each -> each.latencyMillis() > each.targetMillis());
    }

    /** Headroom of a serving task below the latency that it is held to, negative above. */
    private double freeHeadroom(PressureEstimates.ServingSample served) {
        double idleMillis =
                idleLatency.observe(served.image(), served.latencyMillis(), served.targetMillis());
        return Headroom.usable(idleMillis, served.targetMillis())
                - Headroom.used(idleMillis, served.latencyMillis());
    }

    /** The speeds of one decision. Not thread-safe. */
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
            return Math.max(MIN_PRESSURE, pressures.of(servingImage, task.image()));
        }

        /**
         * Takes speed from those that press most on a serving image. Tasks that are not known to
         * press lose theirs only once all others stand still and the target is missed none the
         * less.
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
                            .filter(each -> pressure(servingImage, each) > MIN_PRESSURE)
                            .toList();
            double remaining = needed;
            for (BestEffortTask<K> task :
                    interfering.isEmpty() && targetMissed ? running : interfering) {
                double pressure = pressure(servingImage, task);
                int before = speedPercents.get(task.key());
                double kept = Math.max(0, pressure * before / FULL_SPEED_PERCENT - remaining);
                int percent = (int) (FULL_SPEED_PERCENT * kept / pressure);
                percent = percent < MIN_SPEED_PERCENT ? 0 : percent;
                if (remaining > 0 && percent < before) {
                    speedPercents.put(task.key(), percent);
                    remaining -= pressure * (before - percent) / FULL_SPEED_PERCENT;
                }
            }
        }

        /** Gives speed to tasks that no pressed image is beside, those that end soonest first. */
        private void restore(Map<String, Double> freeHeadroom) {
            Map<String, Double> restorable = new LinkedHashMap<>();
            freeHeadroom.forEach(
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
                                + maxRestore(
                                        task,
                                        freeHeadroom,
                                        restorable,
                                        FULL_SPEED_PERCENT - before);
                if (percent >= MIN_SPEED_PERCENT && percent > before) {
                    speedPercents.put(task.key(), percent);
                    int gain = percent - before;
                    restorable.replaceAll(
                            (image, left) ->
                                    left - pressure(image, task) * gain / FULL_SPEED_PERCENT);
                }
            }
        }

        private int maxRestore(
                BestEffortTask<K> task,
                Map<String, Double> freeHeadroom,
                Map<String, Double> restorable,
                int requested) {
            double max = requested;
            for (Map.Entry<String, Double> each : restorable.entrySet()) {
                boolean interferes = pressures.of(each.getKey(), task.image()) >= MIN_PRESSURE;
                boolean hasHeadroom = freeHeadroom.get(each.getKey()) > RESTORE_MARGIN;
                if (interferes && !hasHeadroom) {
                    return 0;
                }
                if (hasHeadroom) {
                    double percent =
                            FULL_SPEED_PERCENT * each.getValue() / pressure(each.getKey(), task);
                    max = Math.min(max, Math.max(0, percent));
                }
            }
            return (int) max;
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
