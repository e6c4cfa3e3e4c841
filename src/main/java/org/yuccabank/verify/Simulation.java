package org.yuccabank.verify;

import java.util.Comparator;
import java.util.EnumMap;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;

/**
 * Simulated time: runs actions in the order of their times, and those of equal time in the order in
 * which they were scheduled. Counts the injected faults. Not thread-safe.
 */
final class Simulation {

    private static final RandomGeneratorFactory<RandomGenerator> GENERATORS =
            RandomGeneratorFactory.of("L64X128MixRandom");

    private record Scheduled(long timeMicros, long order, Runnable action) {}

    private final PriorityQueue<Scheduled> queue =
            new PriorityQueue<>(
                    Comparator.comparingLong(Scheduled::timeMicros)
                            .thenComparingLong(Scheduled::order));
    private final Map<Fault, Long> faults = new EnumMap<>(Fault.class);
    private final RandomGenerator random;
    private long nowMicros;
    private long scheduledCount;

    Simulation(long seed) {
        random = generator(seed);
    }

    static RandomGenerator generator(long seed) {
        return GENERATORS.create(seed);
    }

    RandomGenerator random() {
        return random;
    }

    boolean chance(double probability) {
        return random.nextDouble() < probability;
    }

    long nowMicros() {
        return nowMicros;
    }

    long nowMillis() {
        return nowMicros / 1000;
    }

    void after(long delayMicros, Runnable action) {
        scheduledCount++;
        queue.add(new Scheduled(nowMicros + delayMicros, scheduledCount, action));
    }

    void afterMillis(long delayMillis, Runnable action) {
        after(delayMillis * 1000, action);
    }

    /** Runs everything up to a time. */
    void runUntilMillis(long endMillis) {
        while (!queue.isEmpty() && queue.peek().timeMicros() <= endMillis * 1000) {
            Scheduled next = queue.remove();
            nowMicros = next.timeMicros();
            next.action().run();
        }
        nowMicros = Math.max(nowMicros, endMillis * 1000);
    }

    void count(Fault fault) {
        faults.merge(fault, 1L, Long::sum);
    }

    Map<Fault, Long> faults() {
        return faults;
    }
}
