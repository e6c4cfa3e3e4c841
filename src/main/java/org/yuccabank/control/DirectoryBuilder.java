package org.yuccabank.control;

import org.yuccabank.protocol.generated.Directory;
import org.yuccabank.protocol.generated.DirectoryEntry;
import org.yuccabank.protocol.generated.DirectoryRequest;
import org.yuccabank.protocol.generated.TargetState;
import org.yuccabank.state.SystemState;
import org.yuccabank.state.generated.HostRecord;

/** Builds what entries know about hosts and targets. Confined to the thread of the replica. */
final class DirectoryBuilder {

    private DirectoryBuilder() {}

    /**
     * Answers a request of an entry.
     *
     * @param request what the entry knows
     * @param registry the reported hosts
     * @param state the replicated records
     * @param nowMillis present time
     * @return the directory; only its revision if the entry knows it already
     */
    static Directory build(
            DirectoryRequest request, HostRegistry registry, SystemState state, long nowMillis) {
        Directory.Builder directory = Directory.newBuilder().setRevision(registry.revision());
        state.newestRules()
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
