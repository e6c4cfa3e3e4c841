package org.yuccabank.control;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;
import java.util.Objects;
import org.yuccabank.replication.ReplicaMember;
import org.yuccabank.replication.ReplicaTiming;

/**
 * What a control process needs to start. Immutable.
 *
 * @param processId identifier of the process
 * @param dataCentre data centre of the process
 * @param group name of the control group
 * @param replicaId identifier of the replica
 * @param members initial voters of the group
 * @param dataDirectory directory of the durable state
 * @param protocolAddress address for other processes
 * @param administrationAddress address for metrics and health
 * @param leaseMillis duration of a task's lease
 * @param clockDriftFraction greatest difference of two clock rates, 0.1 for 10 %
 * @param timing times of the replication protocol
 * @param joinAddresses where a replica that is not a voter asks to become one; empty if it never
 *     asks
 * @param desiredVoters replicas that should vote; others that join stay learners
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

    /** A configuration of a replica that never asks for a vote. */
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

    /** Checks the parts. */
    public ControlConfiguration {
        Objects.requireNonNull(processId, "processId is null");
        Objects.requireNonNull(replicaId, "replicaId is null");
        Objects.requireNonNull(dataDirectory, "dataDirectory is null");
        Objects.requireNonNull(protocolAddress, "protocolAddress is null");
        members = List.copyOf(members);
        joinAddresses = List.copyOf(joinAddresses);
        if (leaseMillis < 1) {
            throw new IllegalArgumentException("leaseMillis must be positive");
        }
    }
}
