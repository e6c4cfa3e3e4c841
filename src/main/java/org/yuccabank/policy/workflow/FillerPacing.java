package org.yuccabank.policy.workflow;

import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Slows down the filling tasks of a worker as far as the serving tasks beside them need: cuts at
 * once, those that press most first, and gives back in steps. Answers the load in which filling
 * tasks press on serving ones whose own load swings within seconds. Not thread-safe.
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
    private static final long CHANGE_MILLIS = 600;

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
     * @param pressure part of the headroom that it takes at full speed, see {@link
     *     PressureEstimates}
     * @param percent its speed
     * @param <K> type of the name
     */
    public record Filler<K>(K key, double pressure, int percent) {

        private double pressureTaken(int atPercent) {
            return Math.max(LEAST_PRESSURE, pressure) * atPercent / FULL_SPEED;
        }
    }

    /**
     * Decides the speed of the filling tasks.
     *
     * @param served figures of the serving tasks beside them
     * @param fillers the filling tasks
     * @param nowMillis present time of a steady clock
     * @param <K> type of the names
     * @return percent of the speed of each filling task whose speed changes
     */
    public <K> Map<K, Integer> decide(
            List<PressureEstimates.Serving> served, List<Filler<K>> fillers, long nowMillis) {
        double free =
                served.stream().mapToDouble(this::freeHeadroom).min().orElse(Double.MAX_VALUE);
        if (fillers.isEmpty() || nowMillis - changedAtMillis < CHANGE_MILLIS) {
            return Map.of();
        }
        Map<K, Integer> changes = Map.of();
        if (free < 0) {
            cutFactor *= CUT_GROWTH;
            changes = cut(fillers, cutFactor * (CUT_MARGIN - free));
        } else {
            cutFactor = 1 / CUT_GROWTH;
            if (free > RETURN_MARGIN) {
                changes = giveBack(fillers, RETURNED_SHARE * free);
            }
        }
        if (!changes.isEmpty()) {
            changedAtMillis = nowMillis;
        }
        return changes;
    }

    /** Headroom of a serving task below the latency that it is held to, negative above. */
    private double freeHeadroom(PressureEstimates.Serving served) {
        double idleMillis =
                idle.observe(served.image(), served.latencyMillis(), served.targetMillis());
        return Headroom.bearable(idleMillis, served.targetMillis())
                - Headroom.taken(idleMillis, served.latencyMillis());
    }

    private static <K> Map<K, Integer> cut(List<Filler<K>> fillers, double needed) {
        Map<K, Integer> changes = new LinkedHashMap<>();
        double left = needed;
        for (Filler<K> filler : byPressure(fillers)) {
            if (left <= 0) {
                break;
            }
            double taken = filler.pressureTaken(filler.percent());
            double kept = Math.max(0, taken - left);
            int percent = (int) (FULL_SPEED * kept / filler.pressureTaken(FULL_SPEED));
            percent = percent < STANDSTILL_PERCENT ? 0 : percent;
            if (percent < filler.percent()) {
                changes.put(filler.key(), percent);
                left -= taken - filler.pressureTaken(percent);
            }
        }
        return changes;
    }

    private static <K> Map<K, Integer> giveBack(List<Filler<K>> fillers, double given) {
        Map<K, Integer> changes = new LinkedHashMap<>();
        double left = given;
        for (Filler<K> filler : byPressure(fillers).stream().sorted(LIGHTEST_FIRST).toList()) {
            double taken = filler.pressureTaken(filler.percent());
            double wanted = filler.pressureTaken(FULL_SPEED);
            int percent = (int) (FULL_SPEED * Math.min(wanted, taken + left) / wanted);
            if (percent >= STANDSTILL_PERCENT && percent > filler.percent()) {
                changes.put(filler.key(), percent);
                left -= filler.pressureTaken(percent) - taken;
            }
            if (left <= 0) {
                break;
            }
        }
        return changes;
    }

    private static final Comparator<Filler<?>> LIGHTEST_FIRST =
            Comparator.comparingDouble(Filler::pressure);

    private static <K> List<Filler<K>> byPressure(List<Filler<K>> fillers) {
        return fillers.stream().sorted(LIGHTEST_FIRST.reversed()).toList();
    }
}
