package org.yuccabank.standin;

/**
 * Faults that a stand-in worker shows, set by {@code PUT /v1/behaviour}. Immutable.
 *
 * @param failing every task that starts fails at once
 * @param frozen nothing is answered and no task advances
 * @param delayMillis delay of every response
 * @param reordered responses are delayed by random times, so that they overtake each other
 */
public record Behaviour(boolean failing, boolean frozen, long delayMillis, boolean reordered) {

    /**
     * A healthy worker.
     *
     * @return no faults
     */
    public static Behaviour healthy() {
        return new Behaviour(false, false, 0, false);
    }
}
