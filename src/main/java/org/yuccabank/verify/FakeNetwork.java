package org.yuccabank.verify;

import java.util.HashSet;
import java.util.Set;
import java.util.random.RandomGenerator;

/** Simulated network that loses, duplicates, delays and reorders messages. Not thread-safe. */
final class FakeNetwork {

    private static final long BASE_DELAY_MICROS = 1_500;
    private static final long FAST_DELAY_MICROS = 150;
    private static final long MAXIMUM_EXTRA_DELAY_MICROS = 400_000;

    private record Link(String from, String to) {}

    private final Simulation simulation;
    private final Set<Link> blockedLinks = new HashSet<>();
    private final long baseDelayMicros;
    private double lossRate;
    private double duplicateRate;
    private double delayRate;

    FakeNetwork(Simulation simulation, boolean fast) {
        this.simulation = simulation;
        baseDelayMicros = fast ? FAST_DELAY_MICROS : BASE_DELAY_MICROS;
    }

    void setRates(double newLossRate, double newDuplicateRate, double newDelayRate) {
        lossRate = newLossRate;
        duplicateRate = newDuplicateRate;
        delayRate = newDelayRate;
    }

    /** Unblocks all links and sets all fault rates to 0. */
    void clearFaults() {
        blockedLinks.clear();
        setRates(0, 0, 0);
    }

    void block(String from, String to) {
        blockedLinks.add(new Link(from, to));
    }

    void unblock(String from, String to) {
        blockedLinks.remove(new Link(from, to));
    }

    boolean isBlocked(String from, String to) {
        return blockedLinks.contains(new Link(from, to));
    }

    /** Delivers a message once after a delay, or loses or duplicates it. */
    void send(String from, String to, Runnable delivery) {
        if (blockedLinks.contains(new Link(from, to))) {
            return;
        }
        if (simulation.nextBoolean(lossRate)) {
            simulation.countFault(Fault.MESSAGE_LOST);
            return;
        }
        simulation.schedule(delayMicros(), delivery);
        if (simulation.nextBoolean(duplicateRate)) {
            simulation.countFault(Fault.MESSAGE_DUPLICATED);
            simulation.schedule(delayMicros(), delivery);
        }
    }

    private long delayMicros() {
        RandomGenerator random = simulation.random();
        long delay = baseDelayMicros + random.nextLong(baseDelayMicros);
        if (simulation.nextBoolean(delayRate)) {
            simulation.countFault(Fault.MESSAGE_DELAYED);
            delay += random.nextLong(MAXIMUM_EXTRA_DELAY_MICROS);
        }
        return delay;
    }
}
