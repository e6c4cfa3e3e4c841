package org.yuccabank.control;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;
import java.util.Objects;
import org.yuccabank.replication.ReplicaMember;
import org.yuccabank.replication.ReplicaTiming;

/**
 * Configuration of a control process. Immutable.
 *
 * @param processId identifier of the process
 * @param dataCentre data centre of the process
 * @param group name of the control group
 * @param replicaId identifier of the replica
 * @param members initial voters of the group
 * @param dataDirectory directory of the durable state
 * @param protocolAddress address on which other processes connect
 * @param administrationAddress address of the metrics and health endpoints
 * @param leaseMillis duration of a task's lease
 * @param clockDriftFraction maximum relative difference between the rates of two clocks, 0.1 for
 *     10%
 * @param timing timeouts and intervals of the replication protocol
 * @param joinAddresses addresses to which a replica that is not a voter sends join requests; empty
 *     if it never joins
 * @param desiredVoters desired number of voters; further replicas that join remain learners
 */
public record ControlConfiguration(
        String processId,
        String dataCentre,
        String group,
        String replicaId,
        List<ReplicaMember> members,
        Path dataDirectory,
        InetSocketAddress protocolAddress,
        InetSocketAddress administrationAddress,
        long leaseMillis,
        double clockDriftFraction,
        ReplicaTiming timing,
        List<InetSocketAddress> joinAddresses,
        int desiredVoters) {

    /** Creates the configuration of a replica that never sends join requests. */
    public ControlConfiguration(
            String processId,
            String dataCentre,
            String group,
            String replicaId,
            List<ReplicaMember> members,
            Path dataDirectory,
            InetSocketAddress protocolAddress,
            InetSocketAddress administrationAddress,
            long leaseMillis,
            double clockDriftFraction,
            ReplicaTiming timing) {
        this(
                processId,
                dataCentre,
                group,
                replicaId,
                members,
                dataDirectory,
                protocolAddress,
                administrationAddress,
                leaseMillis,
                clockDriftFraction,
                timing,
                List.of(),
                members.size());
    }

    /** Validates the components. */
    public ControlConfiguration {
        Objects.requireNonNull(processId, "processId is null");
        Objects.requireNonNull(replicaId, "replicaId is null");
        Objects.requireNonNull(dataDirectory, "dataDirectory is null");
        Objects.requireNonNull(protocolAddress, "protocolAddress is null");
        members = List.copyOf(members);
        joinAddresses = List.copyOf(joinAddresses);
        if (leaseMillis < 1) {
            throw new IllegalArgumentException("leaseMillis must be positive, not " + leaseMillis);
        }
    }
}
