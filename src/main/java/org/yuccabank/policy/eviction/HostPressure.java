package org.yuccabank.policy.eviction;

import java.util.List;
import java.util.Objects;
import org.yuccabank.model.WorkKind;
import org.yuccabank.policy.placement.KindLoad;

/**
 * Reported slowdown of urgent work on a host. Immutable.
 *
 * @param victim urgent kind that is protected
 * @param measuredSlowdown slowdown in the latest report, 1 for none
 * @param measuredAtMillis time of the measurement, not of its arrival
 * @param load current load of the host, throttled tasks counted with their throttled use
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

    /** Validates the components. */
    public HostPressure {
        Objects.requireNonNull(victim, "victim is null");
        Objects.requireNonNull(load, "load is null");
        Objects.requireNonNull(candidates, "candidates is null");
    }
}
