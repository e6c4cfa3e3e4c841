package org.yuccabank.control;

import org.yuccabank.protocol.generated.Directory;
import org.yuccabank.protocol.generated.DirectoryEntry;
import org.yuccabank.protocol.generated.DirectoryRequest;
import org.yuccabank.protocol.generated.TargetState;
import org.yuccabank.state.SystemState;
import org.yuccabank.state.generated.HostRecord;

/**
 * Builds the directory of hosts and targets for entry processes. Confined to the replica thread.
 */
final class DirectoryBuilder {

    private DirectoryBuilder() {}

    /**
     * Returns the directory for the request of an entry.
     *
     * @param request the request, with the versions that the entry already has
     * @param registry registry of the reported hosts
     * @param state the replicated state
     * @param nowMillis current time
     * @return the directory; without hosts if the entry already has its revision
     */
    static Directory build(
            DirectoryRequest request, HostRegistry registry, SystemState state, long nowMillis) {
        Directory.Builder directory = Directory.newBuilder().setRevision(registry.revision());
        state.currentRules()
                .filter(rules -> rules.getVersion() > request.getKnownConfiguration())
                .ifPresent(directory::setRules);
        if (request.getKnownRevision() == registry.revision()) {
            return directory.setUnchanged(true).build();
        }
        for (ReportedHost host : registry.hosts()) {
            directory.addHosts(directoryEntry(host, state, nowMillis));
        }
        return directory.build();
    }

    private static DirectoryEntry directoryEntry(
            ReportedHost host, SystemState state, long nowMillis) {
        boolean draining =
                host.draining()
                        || state.host(host.hostId()).map(HostRecord::getDraining).orElse(false);
        DirectoryEntry.Builder entry =
                DirectoryEntry.newBuilder()
                        .setHostId(host.hostId())
                        .setAgentAddress(host.agentAddress())
                        .setDataCentre(host.dataCentre())
                        .setIncarnation(host.incarnation())
                        .setSuspect(host.isSuspect(nowMillis));
        for (TargetState target : host.targets()) {
            entry.addTargets(draining ? target.toBuilder().setLeaving(true).build() : target);
        }
        return entry.build();
    }
}
