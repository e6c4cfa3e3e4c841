package org.yuccabank.replication;

import com.google.protobuf.ByteString;
import org.yuccabank.protocol.generated.Membership;

/**
 * Snapshot of the state machine at a log index. Immutable.
 *
 * @param lastIndex index of the last log entry that the snapshot includes; 0 for a new group
 * @param lastTerm term of that entry
 * @param membership the membership at that index
 * @param data state returned by {@link StateMachine#snapshot}
 */
record SnapshotData(long lastIndex, long lastTerm, Membership membership, ByteString data) {}
