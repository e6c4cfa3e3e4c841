package org.yuccabank.replication;

import com.google.protobuf.ByteString;
import org.yuccabank.protocol.generated.Membership;

/**
 * State machine at one log position. Immutable.
 *
 * @param lastIndex the last log position that the state contains; 0 for the state of a new group
 * @param lastTerm the term of that position
 * @param membership the members at that position
 * @param data what {@link StateMachine#snapshot} returned
 */
record SnapshotData(long lastIndex, long lastTerm, Membership membership, ByteString data) {}
