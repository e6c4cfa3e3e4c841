package org.yuccabank.policy.routing;

import java.util.OptionalLong;

/** Never sends a second attempt. Stateless and thread-safe. */
final class NoHedge implements HedgePolicy {

    static final NoHedge INSTANCE = new NoHedge();

    private NoHedge() {}

    @Override
    public OptionalLong delayMillis(boolean idempotent, long nowMillis) {
        return OptionalLong.empty();
    }

    @Override
    public boolean tryHedge(Route route, Deadline deadline, long nowMillis) {
        return false;
    }

    @Override
    public void recordAnswer(long elapsedMicros, long nowMillis) {
        // No statistics are needed.
    }
}
