package org.yuccabank.policy.eviction;

import java.util.List;
import java.util.Objects;
import org.yuccabank.model.WorkKind;
import org.yuccabank.policy.placement.KindLoad;

/**
 * How much urgent work suffers on a host, as far as reports tell. Immutable.
 *
 * @param victim urgent kind that is protected
 * @param measuredSlowdown slowdown in the newest report, 1 for none
 * @param measuredAtMillis time at which it was measured, not at which it arrived
 * @param load present load of the host, throttled tasks with what they use throttled
 * @param capacityMillis processors of the host, in thousandths of a core
 * @param candidates batch tasks on the host
 */
public record HostPressure(
        WorkKind victim,
        double measuredSlowdown,
        long measuredAtMillis,
        List<KindLoad> load,
        long capacityMillis,
        List<EvictionCandidate> candidates) {

    /** Checks the parts. */
    public HostPressure {
        Objects.requireNonNull(victim, "victim is null");
        Objects.requireNonNull(load, "load is null");
        Objects.requireNonNull(candidates, "candidates is null");
    }
}
