package org.yuccabank.bench;

import java.util.Arrays;

/**
 * Simulated service instance with a fixed number of slots and a queue. Requests must arrive in
 * order of time. Not thread-safe.
 */
final class FakeInstance implements TargetView {

    private static final int SLOTS = 8;

    /** Callers give up if they would have to wait longer than this. */
    private static final double MAXIMUM_WAIT_MILLIS = 3_000;

    private final double[] slotFreeAtMillis = new double[SLOTS];
    private double[] completionMillis = new double[64];
    private int completionCount;
    private double routingTimeMillis;
    private double slowdown = 1;
    private boolean available = true;
    private boolean lost;

    private double busyMillis;
    private double servedMillis;
    private int served;

    /** Measurements of the requests in one window. */
    record Window(double slowdown, double utilisation, int served) {}

    void setSlowdown(double newSlowdown) {
        slowdown = newSlowdown;
    }

    void setAvailable(boolean newAvailable) {
        available = newAvailable;
    }

    void markLost() {
        lost = true;
    }

    boolean isLost() {
        return lost;
    }

    void setRoutingTime(double nowMillis) {
        routingTimeMillis = nowMillis;
    }

    /**
     * Serves a request.
     *
     * @param arrivalMillis time of arrival, not before that of earlier requests
     * @param serviceMillis service time without slowdown
     * @return time until the response is complete, or until the caller gives up
     */
    double serve(double arrivalMillis, double serviceMillis) {
        int slot = 0;
        for (int index = 1; index < SLOTS; index++) {
            if (slotFreeAtMillis[index] < slotFreeAtMillis[slot]) {
                slot = index;
            }
        }
        double startMillis = Math.max(arrivalMillis, slotFreeAtMillis[slot]);
        if (startMillis - arrivalMillis > MAXIMUM_WAIT_MILLIS) {
            return MAXIMUM_WAIT_MILLIS;
        }
        double slowedMillis = serviceMillis * slowdown;
        slotFreeAtMillis[slot] = startMillis + slowedMillis;
        recordCompletion(startMillis + slowedMillis);
        busyMillis += slowedMillis;
        servedMillis += slowedMillis;
        served++;
        return startMillis + slowedMillis - arrivalMillis;
    }

    private void recordCompletion(double completedAtMillis) {
        if (completionCount == completionMillis.length) {
            completionMillis = Arrays.copyOf(completionMillis, 2 * completionCount);
        }
        completionMillis[completionCount++] = completedAtMillis;
    }

    @Override
    public int inFlight() {
        int kept = 0;
        for (int index = 0; index < completionCount; index++) {
            if (completionMillis[index] > routingTimeMillis) {
                completionMillis[kept++] = completionMillis[index];
            }
        }
        completionCount = kept;
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

    /** Returns the processors in use. */
    double usedCores(double nowMillis, double fullLoadCores) {
        int busy = 0;
        for (double freeAtMillis : slotFreeAtMillis) {
            if (freeAtMillis > nowMillis) {
                busy++;
            }
        }
        return fullLoadCores * busy / SLOTS;
    }

    /**
     * Ends the measurement window and returns its measurements. The slowdown is the mean service
     * time in the window relative to the expected mean, so it contains sampling noise.
     */
    Window takeWindow(double lengthMillis, double meanServiceMillis) {
        Window window =
                new Window(
                        served == 0 ? 1 : servedMillis / served / meanServiceMillis,
                        Math.min(1, busyMillis / (SLOTS * lengthMillis)),
                        served);
        busyMillis = 0;
        servedMillis = 0;
        served = 0;
        return window;
    }
}
