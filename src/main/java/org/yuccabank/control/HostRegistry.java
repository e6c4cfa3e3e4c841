package org.yuccabank.control;

import java.util.Collection;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.yuccabank.protocol.PeerConnection;
import org.yuccabank.protocol.generated.AgentReport;

/**
 * Registry of the latest reported state of each host. Exists only on the leader and is rebuilt
 * after a leader change. Confined to the replica thread.
 */
final class HostRegistry {

    /** Time without a report after which a host is suspect and gets no new work. */
    static final long SUSPECT_TIMEOUT_MILLIS = 3_000;

    private final Map<String, ReportedHost> hosts = new LinkedHashMap<>();
    private long revision = 1;

    /**
     * Merges a report into the state of its host.
     *
     * @param report the report
     * @param configurationVersion configuration version in force at the agent
     * @param connection connection on which directives can be sent
     * @param nowMillis current time
     * @return the host, or empty if the report is of a past incarnation or a full report is
     *     required first
     */
    Optional<ReportedHost> update(
            AgentReport report,
            long configurationVersion,
            PeerConnection connection,
            long nowMillis) {
        ReportedHost host = hosts.get(report.getHostId());
        boolean sameIncarnation = host != null && host.incarnation() == report.getIncarnation();
        if (host != null && report.getIncarnation() < host.incarnation()) {
            return Optional.empty();
        }
        if (!sameIncarnation && !report.getFull()) {
            return Optional.empty();
        }
        if (!sameIncarnation) {
            host = ReportedHost.of(report.getHostId(), report.getIncarnation());
            hosts.put(report.getHostId(), host);
        }
        boolean wasSuspect = host.isSuspect(nowMillis);
        host.merge(report, configurationVersion, connection, nowMillis);
        if (host.getAndClearRoutingChanged() || wasSuspect) {
            revision++;
        }
        return Optional.of(host);
    }

    /**
     * Increments the revision after a change that entries must see, such as a host becoming
     * suspect.
     */
    void incrementRevision() {
        revision++;
    }

    Optional<ReportedHost> host(String hostId) {
        return Optional.ofNullable(hosts.get(hostId));
    }

    Collection<ReportedHost> hosts() {
        return Collections.unmodifiableCollection(hosts.values());
    }

    /**
     * Returns the revision, which increases with every change that is relevant for routing.
     *
     * @return the revision
     */
    long revision() {
        return revision;
    }

    void clear() {
        hosts.clear();
        revision++;
    }
}
