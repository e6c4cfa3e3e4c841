package org.yuccabank.bench;

import java.util.Arrays;

/**
 * A service instance with a fixed number of slots and a queue; requests arrive in order of time.
 * Not thread-safe.
 */
final class FakeInstance implements TargetView {

    private static final int SLOTS = 8;

    /** Callers give up when the queue is longer than this. */
    private static final double LONGEST_WAIT_MILLIS = 3_000;

    private final double[] freeAtMillis = new double[SLOTS];
    private double[] finishes = new double[64];
    private int finishCount;
    private double routedAtMillis;
    private double slowdown = 1;
    private boolean available = true;
    private boolean lost;

    private double busyMillis;
    private double actualMillis;
    private int served;

    /** Result of one second of requests. */
    record Window(double slowdown, double utilisation, int served) {}

    void setSlowdown(double newSlowdown) {
        slowdown = newSlowdown;
    }

    void setAvailable(boolean newAvailable) {
        available = newAvailable;
    }

    void setLost() {
        lost = true;
    }

    boolean isLost() {
        return lost;
    }

    void setTime(double nowMillis) {
        routedAtMillis = nowMillis;
    }

    /**
     * Serves a request.
     *
     * @param arrivalMillis time of arrival, not before that of earlier requests
     * @param serviceMillis service time without slowdown
     * @return time until the response is complete
     */
    double serve(double arrivalMillis, double serviceMillis) {
        int slot = 0;
        for (int index = 1; index < SLOTS; index++) {
            if (freeAtMillis[index] < freeAtMillis[slot]) {
                slot = index;
            }
        }
        double start = Math.max(arrivalMillis, freeAtMillis[slot]);
        if (start - arrivalMillis > LONGEST_WAIT_MILLIS) {
            return LONGEST_WAIT_MILLIS;
        }
        double actual = serviceMillis * slowdown;
        freeAtMillis[slot] = start + actual;
        remember(start + actual);
        busyMillis += actual;
        actualMillis += actual;
        served++;
        return start + actual - arrivalMillis;
    }

    private void remember(double finish) {
        if (finishCount == finishes.length) {
            finishes = Arrays.copyOf(finishes, 2 * finishCount);
        }
        finishes[finishCount++] = finish;
    }

    @Override
    public int inFlight() {
        int kept = 0;
        for (int index = 0; index < finishCount; index++) {
            if (finishes[index] > routedAtMillis) {
                finishes[kept++] = finishes[index];
            }
        }
        finishCount = kept;
        return kept;
    }

    @Override
    public int slots() {
        return SLOTS;
    }

    @Override
    public double reportedUtilisation() {
        return Math.min(1, (double) inFlight() / SLOTS);
    }

    @Override
    public boolean available() {
        return available;
    }

    /** Processors in use at present. */
    double usedCores(double nowMillis, double cores) {
        int busy = 0;
        for (double free : freeAtMillis) {
            if (free > nowMillis) {
                busy++;
            }
        }
        return cores * busy / SLOTS;
    }

    /**
     * Ends a measurement window. The slowdown is the mean service time against the usual one, so it
     * has the noise of the requests in the window.
     */
    Window takeWindow(double lengthMillis, double meanServiceMillis) {
        Window window =
                new Window(
                        served == 0 ? 1 : actualMillis / served / meanServiceMillis,
                        Math.min(1, busyMillis / (SLOTS * lengthMillis)),
                        served);
        busyMillis = 0;
        actualMillis = 0;
        served = 0;
        return window;
    }
}
