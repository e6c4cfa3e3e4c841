package org.yuccabank.verify;

/**
 * Steady clock and time of day of a host. Both have the same rate relative to simulated time; only
 * the time of day counts suspensions and is stepped. Not thread-safe.
 */
final class FakeClock {

    private final Simulation simulation;
    private final double rate;
    private final long offsetMicros;
    private long suspendedMicros;
    private long wallStepMillis;

    FakeClock(Simulation simulation, double rate, long offsetMicros) {
        this.simulation = simulation;
        this.rate = rate;
        this.offsetMicros = offsetMicros;
    }

    long nowMillis() {
        return (offsetMicros - suspendedMicros + (long) (simulation.nowMicros() * rate)) / 1000;
    }

    long wallMillis() {
        return (long) (simulation.nowMicros() * rate) / 1000 + wallStepMillis;
    }

    /** Subtracts a suspension that has just ended from the steady clock. */
    void endSuspension(long simulatedMillis) {
        suspendedMicros += (long) (simulatedMillis * 1000 * rate);
    }

    void stepWall(long millis) {
        wallStepMillis += millis;
    }

    /** Converts an interval of this clock to simulated time. */
    long toSimulatedMicros(long localMillis) {
        return (long) (localMillis * 1000 / rate);
    }
}
