package org.yuccabank.replication;

import com.google.protobuf.InvalidProtocolBufferException;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.yuccabank.protocol.generated.LogEntry;
import org.yuccabank.protocol.generated.Member;
import org.yuccabank.protocol.generated.Membership;

/**
 * History of memberships by log index. A membership takes effect as soon as its entry is appended
 * to the log. Not thread-safe.
 */
final class MembershipHistory {

    private final TreeMap<Long, Membership> membershipsByIndex = new TreeMap<>();
    private List<ReplicaMember> members;
    private Set<String> voters;

    MembershipHistory(long index, Membership membership) {
        reset(index, membership);
    }

    /** Adds the membership of an entry if the entry is a membership change. */
    void add(LogEntry entry) {
        if (entry.getType() == LogEntry.Type.MEMBERSHIP) {
            membershipsByIndex.put(entry.getIndex(), parse(entry));
            refresh();
        }
    }

    private static Membership parse(LogEntry entry) {
        try {
            return Membership.parseFrom(entry.getPayload());
        } catch (InvalidProtocolBufferException exception) {
            throw new IllegalStateException(
                    "entry " + entry.getIndex() + " is no membership", exception);
        }
    }

    void truncateFrom(long index) {
        membershipsByIndex.tailMap(index, true).clear();
        refresh();
    }

    void compactTo(long index) {
        membershipsByIndex.headMap(membershipsByIndex.floorKey(index), false).clear();
    }

    void reset(long index, Membership membership) {
        membershipsByIndex.clear();
        membershipsByIndex.put(index, membership);
        refresh();
    }

    private void refresh() {
        Set<String> voterIds = new HashSet<>();
        for (Member member : latest().getMembersList()) {
            if (member.getVoter()) {
                voterIds.add(member.getReplicaId());
            }
        }
        voters = voterIds;
        members = latest().getMembersList().stream().map(ReplicaMember::fromProto).toList();
    }

    Membership membershipAt(long index) {
        return membershipsByIndex.floorEntry(index).getValue();
    }

    Membership latest() {
        return membershipsByIndex.lastEntry().getValue();
    }

    long latestIndex() {
        return membershipsByIndex.lastKey();
    }

    List<ReplicaMember> members() {
        return members;
    }

    Optional<ReplicaMember> member(String replicaId) {
        return members.stream().filter(each -> each.replicaId().equals(replicaId)).findFirst();
    }

    boolean isVoter(String replicaId) {
        return voters.contains(replicaId);
    }

    /** Returns whether a replica was a voter at an index; false if that is not known. */
    boolean isVoterAt(long index, String replicaId) {
        Map.Entry<Long, Membership> entry = membershipsByIndex.floorEntry(index);
        return entry != null
                && entry.getValue().getMembersList().stream()
                        .anyMatch(each -> each.getVoter() && each.getReplicaId().equals(replicaId));
    }

    Set<String> voters() {
        return voters;
    }

    int quorum() {
        return voters.size() / 2 + 1;
    }

    /** Returns whether a set of replicas includes a majority of the voters. */
    boolean isMajority(Set<String> replicas) {
        return !voters.isEmpty() && replicas.stream().filter(voters::contains).count() >= quorum();
    }
}
