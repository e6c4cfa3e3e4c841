package org.yuccabank.settings;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import org.yuccabank.model.HostId;

/**
 * Settings that all roles share. Immutable.
 *
 * @param processId identifier of the process
 * @param hostId identifier of the host
 * @param dataCentre data centre of the host
 * @param region region of the host
 * @param rack rack of the host
 * @param tls files of the TLS configuration, empty if security is off
 * @param drainTimeout maximum time to wait for work in progress when the process stops, empty for
 *     no limit
 */
public record ProcessSettings(
        String processId,
        HostId hostId,
        String dataCentre,
        String region,
        String rack,
        Optional<TlsFiles> tls,
        Optional<Duration> drainTimeout) {

    /** Validates the components. */
    public ProcessSettings {
        Objects.requireNonNull(processId, "processId is null");
        Objects.requireNonNull(hostId, "hostId is null");
        Objects.requireNonNull(dataCentre, "dataCentre is null");
        Objects.requireNonNull(region, "region is null");
        Objects.requireNonNull(rack, "rack is null");
        Objects.requireNonNull(tls, "tls is null");
        Objects.requireNonNull(drainTimeout, "drainTimeout is null");
    }
}
