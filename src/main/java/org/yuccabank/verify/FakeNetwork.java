package org.yuccabank.verify;

import java.util.HashSet;
import java.util.Set;
import java.util.random.RandomGenerator;

/** Network that loses, duplicates, delays and reorders messages. Not thread-safe. */
final class FakeNetwork {

    private static final long BASE_DELAY_MICROS = 1_500;
    private static final long QUICK_DELAY_MICROS = 150;
    private static final long LONG_DELAY_MICROS = 400_000;

    private record Direction(String from, String to) {}

    private final Simulation simulation;
    private final Set<Direction> cuts = new HashSet<>();
    private final long baseDelayMicros;
    private double lossRate;
    private double duplicateRate;
    private double delayRate;

    FakeNetwork(Simulation simulation, boolean quick) {
        this.simulation = simulation;
        baseDelayMicros = quick ? QUICK_DELAY_MICROS : BASE_DELAY_MICROS;
    }

    void setRates(double loss, double duplicate, double delay) {
        lossRate = loss;
        duplicateRate = duplicate;
        delayRate = delay;
    }

    /** Ends all faults. */
    void repair() {
        cuts.clear();
        setRates(0, 0, 0);
    }

    void cut(String from, String to) {
        cuts.add(new Direction(from, to));
    }

    void join(String from, String to) {
        cuts.remove(new Direction(from, to));
    }

    /** Delivers a message later, once, twice or never. */
    void send(String from, String to, Runnable delivery) {
        if (cuts.contains(new Direction(from, to))) {
            return;
        }
        if (simulation.chance(lossRate)) {
            simulation.count(Fault.MESSAGE_LOST);
            return;
        }
        simulation.after(delayMicros(), delivery);
        if (simulation.chance(duplicateRate)) {
            simulation.count(Fault.MESSAGE_DUPLICATED);
            simulation.after(delayMicros(), delivery);
        }
    }

    private long delayMicros() {
        RandomGenerator random = simulation.random();
        long delay = baseDelayMicros + random.nextLong(baseDelayMicros);
        if (simulation.chance(delayRate)) {
            simulation.count(Fault.MESSAGE_DELAYED);
            delay += random.nextLong(LONG_DELAY_MICROS);
        }
        return delay;
    }
}
