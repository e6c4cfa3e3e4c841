package org.yuccabank.replication;

import java.nio.file.Path;
import java.util.List;
import java.util.Objects;

/**
 * Settings of one replica. Immutable.
 *
 * @param group name of the replication group
 * @param replicaId identifier of this replica; a replica whose disk was replaced gets a new one
 * @param directory directory of its durable state, used by this replica only
 * @param initialMembers the voters of a new group, equal on all of them; empty for a replica that
 *     joins an existing group as a learner. Ignored once the directory holds state.
 * @param timing times of the protocol
 * @param snapshotEntries number of applied entries after which a snapshot is written
 * @param batchBytes largest size of the entries of one message, at most 1 MiB; a larger entry is
 *     sent alone
 */
public record ReplicaSettings(
        String group,
        String replicaId,
        Path directory,
        List<ReplicaMember> initialMembers,
        ReplicaTiming timing,
        int snapshotEntries,
        int batchBytes) {

    /** Keeps a message well below the largest frame of 4 MiB. */
    public static final int MAXIMUM_BATCH_BYTES = 1 << 20;

    /** Entries between snapshots, which bounds the time to read the log at start. */
    public static final int DEFAULT_SNAPSHOT_ENTRIES = 20_000;

    /** Checks the fields. */
    public ReplicaSettings {
        Objects.requireNonNull(group, "group is null");
        Objects.requireNonNull(replicaId, "replicaId is null");
        Objects.requireNonNull(directory, "directory is null");
        Objects.requireNonNull(timing, "timing is null");
        initialMembers = List.copyOf(initialMembers);
        if (snapshotEntries < 1) {
            throw new IllegalArgumentException("snapshotEntries must be at least 1");
        }
        if (batchBytes < 1 || batchBytes > MAXIMUM_BATCH_BYTES) {
            throw new IllegalArgumentException("batchBytes must be from 1 to 1 MiB");
        }
    }

    /** Settings with the largest batches. */
    public ReplicaSettings(
            String group,
            String replicaId,
            Path directory,
            List<ReplicaMember> initialMembers,
            ReplicaTiming timing,
            int snapshotEntries) {
        this(
                group,
                replicaId,
                directory,
                initialMembers,
                timing,
                snapshotEntries,
                MAXIMUM_BATCH_BYTES);
    }

    /**
     * Settings with standard times.
     *
     * @param group name of the replication group
     * @param replicaId identifier of this replica
     * @param directory directory of its durable state
     * @param initialMembers the voters of a new group, empty to join an existing one
     * @return the settings
     */
    public static ReplicaSettings of(
            String group, String replicaId, Path directory, List<ReplicaMember> initialMembers) {
        return new ReplicaSettings(
                group,
                replicaId,
                directory,
                initialMembers,
                ReplicaTiming.defaults(),
                DEFAULT_SNAPSHOT_ENTRIES);
    }
}
