package org.yuccabank.verify;

/** Clock of a host with a rate and an offset relative to simulated time. Not thread-safe. */
final class FakeClock {

    private final Simulation simulation;
    private final double rate;
    private final long offsetMicros;

    FakeClock(Simulation simulation, double rate, long offsetMicros) {
        this.simulation = simulation;
        this.rate = rate;
        this.offsetMicros = offsetMicros;
    }

    long nowMillis() {
        return (offsetMicros + (long) (simulation.nowMicros() * rate)) / 1000;
    }

    /** Converts an interval of this clock to simulated time. */
    long toSimulatedMicros(long localMillis) {
        return (long) (localMillis * 1000 / rate);
    }
}
