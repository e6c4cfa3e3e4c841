package org.yuccabank.settings;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;

/**
 * Settings of the role control. Immutable.
 *
 * @param process settings that every role has
 * @param protocolAddress where the process listens for the inner protocol
 * @param administrationAddress where it serves metrics and health
 * @param dataDirectory directory of the replicated log and its snapshots
 * @param group the control group
 * @param timing times of replication
 * @param lease length of task leases
 * @param suspectAfter time without a report after which a host gets no new work
 * @param clockDriftPercent largest difference between the clock rates of two hosts
 * @param snapshotEntries log entries between two snapshots
 * @param maximumQueuedJobs queued jobs after which new jobs are refused
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
     * @param name its name
     * @param replicaId identifier of this replica
     * @param joining true if this replica is not among the first members
     * @param members first members
     */
    public record Group(String name, String replicaId, boolean joining, List<GroupMember> members) {

        /** Copies the list. */
        public Group {
            members = List.copyOf(members);
        }
    }

    /**
     * Times of replication.
     *
     * @param electionTimeoutMinimum shortest time without a leader before an election
     * @param electionTimeoutMaximum longest such time
     * @param heartbeat interval between heartbeats of the leader
     */
    public record Timing(
            Duration electionTimeoutMinimum, Duration electionTimeoutMaximum, Duration heartbeat) {}
}
