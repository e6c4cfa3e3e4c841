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
public final class FillerPacing {

    /** Speed of a task that is not slowed down, in percent. */
    public static final int FULL_SPEED = 100;

    /** Headroom that has to be free before speed is given back; keeps it from going to and fro. */
    private static final double RETURN_MARGIN = 0.06;

    /** Headroom that a cut frees beyond what is needed, as load may be on the rise. */
    private static final double CUT_MARGIN = 0.04;

    /** Part of the free headroom that one step gives back. */
    private static final double RETURNED_SHARE = 0.6;

    /** Time between two changes: a figure covers the last half second. */
    private static final long CHANGE_MILLIS = 500;

    /**
     * Least pressure that a task is taken to have, so that tasks whose estimates are too low are
     * slowed down as well when the others stand still.
     */
    private static final double LEAST_PRESSURE = 0.02;

    /** A task below this speed stands still, as its progress is not worth its pressure. */
    private static final int STANDSTILL_PERCENT = 5;

    /** Each further cut is this much larger, as the pressures may be overestimated. */
    private static final double CUT_GROWTH = 2;

    private final IdleLatency idle = new IdleLatency();
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
    public record Filler<K>(K key, String image, int percent, int progressPercent) {}

    /**
     * Decides the speed of the filling tasks.
     *
     * @param served figures of the serving tasks beside them
     * @param fillers the filling tasks
     * @param pressures how much they press
     * @param nowMillis present time of a steady clock
     * @param <K> type of the names
     * @return percent of the speed of each filling task whose speed changes
     */
    public <K> Map<K, Integer> decide(
            List<PressureEstimates.Serving> served,
            List<Filler<K>> fillers,
            Pressures pressures,
            long nowMillis) {
        Map<String, Double> free = new LinkedHashMap<>();
        served.forEach(each -> free.merge(each.image(), freeHeadroom(each), Math::min));
        if (fillers.isEmpty() || nowMillis - changedAtMillis < CHANGE_MILLIS) {
            return Map.of();
        }
        Speeds<K> speeds = new Speeds<>(fillers, pressures);
        boolean missed = free.values().stream().anyMatch(each -> each < 0);
        cutFactor = missed ? cutFactor * CUT_GROWTH : 1 / CUT_GROWTH;
        free.forEach(
                (image, headroom) -> {
                    if (headroom < 0) {
                        boolean targetMissed = missesTarget(served, image);
                        speeds.cut(image, cutFactor * (CUT_MARGIN - headroom), targetMissed);
                    }
                });
        speeds.giveBack(free);
        Map<K, Integer> changes = speeds.changes();
        if (!changes.isEmpty()) {
            changedAtMillis = nowMillis;
        }
        return changes;
    }

    private static boolean missesTarget(List<PressureEstimates.Serving> served, String image) {
        return served.stream()
                .filter(each -> each.image().equals(image))
                .anyMatch(each -> each.latencyMillis() > each.targetMillis());
    }

    /** Headroom of a serving task below the latency that it is held to, negative above. */
    private double freeHeadroom(PressureEstimates.Serving served) {
        double idleMillis =
                idle.observe(served.image(), served.latencyMillis(), served.targetMillis());
        return Headroom.bearable(idleMillis, served.targetMillis())
                - Headroom.taken(idleMillis, served.latencyMillis());
    }

    /** The speeds of one decision. Not thread-safe. */
    private static final class Speeds<K> {

        private final List<Filler<K>> fillers;
        private final Pressures pressures;
        private final Map<K, Integer> percents = new LinkedHashMap<>();

        private Speeds(List<Filler<K>> fillers, Pressures pressures) {
            this.fillers = fillers;
            this.pressures = pressures;
            fillers.forEach(each -> percents.put(each.key(), each.percent()));
        }

        private double pressure(String servingImage, Filler<K> filler) {
            return Math.max(LEAST_PRESSURE, pressures.of(servingImage, filler.image()));
        }

        /**
         * Takes speed from those that press most on a serving image. Tasks that are not known to
         * press lose theirs only once all others stand still and the target is missed none the
         * less.
         */
        private void cut(String servingImage, double needed, boolean targetMissed) {
            Comparator<Filler<K>> heaviestFirst =
                    Comparator.comparingDouble((Filler<K> each) -> -pressure(servingImage, each));
            List<Filler<K>> running =
                    fillers.stream()
                            .filter(each -> percents.get(each.key()) > 0)
                            .sorted(heaviestFirst)
                            .toList();
            List<Filler<K>> pressing =
                    running.stream()
                            .filter(each -> pressure(servingImage, each) > LEAST_PRESSURE)
                            .toList();
            double left = needed;
            for (Filler<K> filler : pressing.isEmpty() && targetMissed ? running : pressing) {
                double pressure = pressure(servingImage, filler);
                int before = percents.get(filler.key());
                double kept = Math.max(0, pressure * before / FULL_SPEED - left);
                int percent = (int) (FULL_SPEED * kept / pressure);
                percent = percent < STANDSTILL_PERCENT ? 0 : percent;
                if (left > 0 && percent < before) {
                    percents.put(filler.key(), percent);
                    left -= pressure * (before - percent) / FULL_SPEED;
                }
            }
        }

        /** Gives speed to tasks that no pressed image is beside, those that end soonest first. */
        private void giveBack(Map<String, Double> free) {
            Map<String, Double> given = new LinkedHashMap<>();
            free.forEach((image, headroom) -> given.put(image, RETURNED_SHARE * headroom));
            Comparator<Filler<K>> furthestFirst =
                    Comparator.comparingInt((Filler<K> each) -> -each.progressPercent());
            for (Filler<K> filler : fillers.stream().sorted(furthestFirst).toList()) {
                int before = percents.get(filler.key());
                if (before < filler.percent() || before == FULL_SPEED) {
                    continue;
                }
                int percent = before + mostGiven(filler, free, given, FULL_SPEED - before);
                if (percent >= STANDSTILL_PERCENT && percent > before) {
                    percents.put(filler.key(), percent);
                    int gain = percent - before;
                    given.replaceAll(
                            (image, left) -> left - pressure(image, filler) * gain / FULL_SPEED);
                }
            }
        }

        private int mostGiven(
                Filler<K> filler, Map<String, Double> free, Map<String, Double> given, int wanted) {
            double most = wanted;
            for (Map.Entry<String, Double> each : given.entrySet()) {
                boolean noticed = pressures.of(each.getKey(), filler.image()) >= LEAST_PRESSURE;
                boolean roomy = free.get(each.getKey()) > RETURN_MARGIN;
                if (noticed && !roomy) {
                    return 0;
                }
                if (roomy) {
                    double percent = FULL_SPEED * each.getValue() / pressure(each.getKey(), filler);
                    most = Math.min(most, Math.max(0, percent));
                }
            }
            return (int) most;
        }

        private Map<K, Integer> changes() {
            Map<K, Integer> changes = new LinkedHashMap<>();
            for (Filler<K> filler : fillers) {
                int percent = percents.get(filler.key());
                if (percent != filler.percent()) {
                    changes.put(filler.key(), percent);
                }
            }
            return changes;
        }
    }
}
