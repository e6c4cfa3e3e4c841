package org.yuccabank.verify;

import java.util.Comparator;
import java.util.EnumMap;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;

/**
 * Discrete-event simulation that runs actions in order of their times. Actions with equal times run
 * in the order in which they were scheduled. Also counts the injected faults. Not thread-safe.
 */
final class Simulation {

    private static final RandomGeneratorFactory<RandomGenerator> GENERATOR_FACTORY =
            RandomGeneratorFactory.of("L64X128MixRandom");

    private record ScheduledAction(long timeMicros, long sequence, Runnable action) {}

    private final PriorityQueue<ScheduledAction> pendingActions =
            new PriorityQueue<>(
                    Comparator.comparingLong(ScheduledAction::timeMicros)
                            .thenComparingLong(ScheduledAction::sequence));
    private final Map<Fault, Long> faultCounts = new EnumMap<>(Fault.class);
    private final RandomGenerator random;
    private long nowMicros;
    private long scheduledCount;

    Simulation(long seed) {
        random = newRandomGenerator(seed);
    }

    static RandomGenerator newRandomGenerator(long seed) {
        return GENERATOR_FACTORY.create(seed);
    }

    RandomGenerator random() {
        return random;
    }

    boolean nextBoolean(double probability) {
        return random.nextDouble() < probability;
    }

    long nowMicros() {
        return nowMicros;
    }

    long nowMillis() {
        return nowMicros / 1000;
    }

    void schedule(long delayMicros, Runnable action) {
        scheduledCount++;
        pendingActions.add(new ScheduledAction(nowMicros + delayMicros, scheduledCount, action));
    }

    void scheduleMillis(long delayMillis, Runnable action) {
        schedule(delayMillis * 1000, action);
    }

    /** Runs all actions that are due up to and including a time and advances the time to it. */
    void runUntilMillis(long endMillis) {
        while (!pendingActions.isEmpty()
                && pendingActions.peek().timeMicros() <= endMillis * 1000) {
            ScheduledAction next = pendingActions.remove();
            nowMicros = next.timeMicros();
            next.action().run();
        }
        nowMicros = Math.max(nowMicros, endMillis * 1000);
    }

    void countFault(Fault fault) {
        faultCounts.merge(fault, 1L, Long::sum);
    }

    Map<Fault, Long> faultCounts() {
        return faultCounts;
    }
}
