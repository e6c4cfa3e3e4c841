package org.yuccabank.standin;

/**
 * Injected faults of a stand-in worker, set by {@code PUT /v1/behaviour}. Immutable.
 *
 * @param failing whether every task fails as soon as it starts
 * @param frozen whether the worker sends no responses and its tasks make no progress
 * @param delayMillis delay of every response
 * @param reordered whether responses get an additional random delay and so may be reordered
 */
public record Behaviour(boolean failing, boolean frozen, long delayMillis, boolean reordered) {

    /**
     * Returns the behaviour of a healthy worker.
     *
     * @return behaviour without faults
     */
    public static Behaviour healthy() {
        return new Behaviour(false, false, 0, false);
    }
}
