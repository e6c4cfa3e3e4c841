package org.yuccabank.settings;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;

/**
 * Settings of the control role. Immutable.
 *
 * @param process settings that all roles share
 * @param protocolAddress listen address of the peer protocol
 * @param administrationAddress listen address of metrics and health checks
 * @param dataDirectory directory of the replicated log and its snapshots
 * @param group the control group
 * @param timing timeouts of replication
 * @param lease duration of task leases
 * @param suspectAfter time without a report after which a host is assigned no new work
 * @param clockDriftPercent maximum relative drift between the clocks of two hosts
 * @param snapshotEntries log entries between two snapshots
 * @param maximumQueuedJobs maximum number of queued jobs; further jobs are refused
 */
public record ControlSettings(
        ProcessSettings process,
        InetSocketAddress protocolAddress,
        InetSocketAddress administrationAddress,
        Path dataDirectory,
        Group group,
        Timing timing,
        Duration lease,
        Duration suspectAfter,
        int clockDriftPercent,
        int snapshotEntries,
        int maximumQueuedJobs) {

    /**
     * The control group.
     *
     * @param name name of the group
     * @param replicaId identifier of this replica
     * @param joining true if this replica is not an initial member
     * @param members initial members
     */
    public record Group(String name, String replicaId, boolean joining, List<GroupMember> members) {

        /** Copies the list of members. */
        public Group {
            members = List.copyOf(members);
        }
    }

    /**
     * Timeouts of replication.
     *
     * @param electionTimeoutMinimum minimum election timeout
     * @param electionTimeoutMaximum maximum election timeout
     * @param heartbeat interval between heartbeats of the leader
     */
    public record Timing(
            Duration electionTimeoutMinimum, Duration electionTimeoutMaximum, Duration heartbeat) {}
}
