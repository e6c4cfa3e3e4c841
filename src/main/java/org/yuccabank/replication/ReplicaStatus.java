package org.yuccabank.replication;

import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * State of a replica at one moment. Immutable.
 *
 * @param replicaId identifier of this replica
 * @param role present role
 * @param term present term
 * @param leader the leader, as far as this replica knows
 * @param commitIndex last committed log position known here
 * @param appliedIndex last log position applied here
 * @param lastIndex last log position stored here
 * @param members the members under the newest configuration stored here
 * @param millisSinceReply for how long each other member has not answered, known to a leader only
 * @param stopReason why the replica stopped by itself, empty while it runs
 */
public record ReplicaStatus(
        String replicaId,
        ReplicaRole role,
        long term,
        Optional<ReplicaMember> leader,
        long commitIndex,
        long appliedIndex,
        long lastIndex,
        List<ReplicaMember> members,
        Map<String, Long> millisSinceReply,
        Optional<String> stopReason) {}
