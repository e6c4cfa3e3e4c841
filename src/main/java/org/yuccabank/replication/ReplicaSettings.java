package org.yuccabank.replication;

import java.nio.file.Path;
import java.util.List;
import java.util.Objects;

/**
 * Settings of a replica. Immutable.
 *
 * @param group name of the replication group
 * @param replicaId identifier of this replica; a replica whose disk was replaced needs a new one
 * @param directory directory of the durable state, not shared with other replicas
 * @param initialMembers the voters of a new group, identical on all of them; empty for a replica
 *     that joins an existing group as a learner. Ignored if the directory holds state.
 * @param timing timing parameters of the protocol
 * @param snapshotEntries number of applied entries after which a snapshot is written
 * @param batchBytes maximum total size of the entries in a message, at most 1 MiB; a larger entry
 *     is sent in a message of its own
 */
public record ReplicaSettings(
        String group,
        String replicaId,
        Path directory,
        List<ReplicaMember> initialMembers,
        ReplicaTiming timing,
        int snapshotEntries,
        int batchBytes) {

    /** Keeps messages well below the maximum frame size of 4 MiB. */
    public static final int MAXIMUM_BATCH_BYTES = 1 << 20;

    /** Default number of entries between snapshots, which limits the time to load the log. */
    public static final int DEFAULT_SNAPSHOT_ENTRIES = 20_000;

    /** Validates the settings. */
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

    /** Creates settings with the maximum batch size. */
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
     * Creates settings with default timing parameters, snapshot interval and batch size.
     *
     * @param group name of the replication group
     * @param replicaId identifier of this replica
     * @param directory directory of the durable state
     * @param initialMembers the voters of a new group, empty to join an existing group
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
