package org.yuccabank.control;

import java.util.Collection;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.yuccabank.protocol.PeerConnection;
import org.yuccabank.protocol.generated.AgentReport;

/**
 * The newest report of each host, known to the leader only and rebuilt after a change of leader.
 * Confined to the thread of the replica.
 */
final class HostRegistry {

    /** Time without a report after which a host gets no new work. */
    static final long SUSPECT_TIMEOUT_MILLIS = 3_000;

    private final Map<String, ReportedHost> hosts = new LinkedHashMap<>();
    private long revision = 1;

    /**
     * Takes up a report.
     *
     * @param report the report
     * @param version configuration version in force at the agent
     * @param connection connection on which directives can be sent
     * @param nowMillis present time
     * @return the host, empty if a full report is needed first
     */
    Optional<ReportedHost> update(
            AgentReport report, long version, PeerConnection connection, long nowMillis) {
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
        host.merge(report, version, connection, nowMillis);
        if (host.getAndClearRoutingChanged() || wasSuspect) {
            revision++;
        }
        return Optional.of(host);
    }

    /** Counts a change that entries must see, such as a host that became suspect. */
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
     * Number that changes with everything that matters for routing.
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
