package org.yuccabank.replication;

import com.google.protobuf.ByteString;
import java.util.Arrays;
import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.ToLongFunction;
import org.yuccabank.protocol.generated.AppendReply;
import org.yuccabank.protocol.generated.AppendRequest;
import org.yuccabank.protocol.generated.LogEntry;
import org.yuccabank.protocol.generated.ReplicaMessage;
import org.yuccabank.protocol.generated.SnapshotChunk;
import org.yuccabank.protocol.generated.SnapshotReply;

/**
 * Leader state for one term: replicates the log, advances the commit index and confirms reads. Not
 * thread-safe.
 */
final class Leadership {

    /** Limits the entries sent to a replica that does not acknowledge them. */
    private static final int MAXIMUM_ENTRIES_IN_FLIGHT = 4096;

    private static final int SNAPSHOT_CHUNK_BYTES = 256 << 10;

    private final CoreState state;
    private final Map<String, Progress> progress = new LinkedHashMap<>();
    private final Lease lease;
    private final PendingReads pendingReads = new PendingReads();
    private final long firstIndexOfTerm;
    private final LeadershipTransfer transfer;

    Leadership(CoreState state) {
        this.state = state;
        lease = new Lease(state.timing(), state.isEnabled(Mechanism.CLOCK_DRIFT_MARGIN));
        transfer = new LeadershipTransfer(state, lease);
        firstIndexOfTerm = state.log().lastIndex() + 1;
        refreshMembers();
    }

    /** Appends the no-op entry that allows this term to commit, and sends heartbeats. */
    void start() {
        append(LogEntry.Type.NO_OPERATION, ByteString.EMPTY);
        startHeartbeatRound();
    }

    /**
     * Appends an entry to the log.
     *
     * @return the index of the entry
     */
    long append(LogEntry.Type type, ByteString payload) {
        long index = state.log().lastIndex() + 1;
        state.append(
                LogEntry.newBuilder()
                        .setIndex(index)
                        .setTerm(state.term())
                        .setType(type)
                        .setPayload(payload)
                        .build());
        if (type == LogEntry.Type.MEMBERSHIP) {
            refreshMembers();
        }
        return index;
    }

    private void refreshMembers() {
        Set<String> present = new HashSet<>();
        for (ReplicaMember member : state.membership().members()) {
            String id = member.replicaId();
            present.add(id);
            if (!id.equals(state.id())) {
                progress.computeIfAbsent(
                        id, key -> new Progress(key, firstIndexOfTerm, state.nowMillis()));
            }
        }
        progress.keySet().retainAll(present);
    }

    Collection<Progress> progress() {
        return progress.values();
    }

    Progress progress(String replicaId) {
        return progress.get(replicaId);
    }

    LeadershipTransfer transfer() {
        return transfer;
    }

    long firstIndexOfTerm() {
        return firstIndexOfTerm;
    }

    /** Returns whether an entry of this term is committed, so that the commit index is current. */
    boolean hasCommittedInTerm() {
        return state.commitIndex() >= firstIndexOfTerm;
    }

    /**
     * Sends heartbeats when they are due.
     *
     * @return false if this leader has lost contact with the majority and must step down
     */
    boolean tick() {
        transfer.tick(progress.values());
        if (state.nowMillis() - lease.lastSentMillis() >= state.timing().heartbeatMillis()) {
            startHeartbeatRound();
        }
        return hasQuorumContact();
    }

    private boolean hasQuorumContact() {
        long timeoutMillis =
                state.timing().electionTimeoutMillis() + state.timing().electionJitterMillis();
        Set<String> responsive = new HashSet<>(Set.of(state.id()));
        for (Progress replica : progress.values()) {
            if (state.nowMillis() - replica.lastReplyMillis() < timeoutMillis) {
                responsive.add(replica.replicaId());
            }
        }
        return state.membership().isMajority(responsive);
    }

    /** Sends a heartbeat with the current commit index to all other replicas. */
    void startHeartbeatRound() {
        lease.startRound(state.nowMillis());
        if (hasCommittedInTerm()) {
            pendingReads.assignRound(lease.currentRound(), state.commitIndex());
        }
        progress.values().forEach(this::sendHeartbeat);
        confirmRounds();
    }

    private void sendHeartbeat(Progress replica) {
        if (replica.mode() == Progress.Mode.SNAPSHOT) {
            sendEntries(replica, 0, 0, List.of());
            if (state.nowMillis() - replica.chunkSentMillis()
                    >= state.timing().electionTimeoutMillis()) {
                sendChunk(replica);
            }
        } else if (!state.log().hasTerm(replica.nextIndex() - 1)) {
            replica.startSnapshot(state.snapshot());
            sendEntries(replica, 0, 0, List.of());
            sendChunk(replica);
        } else {
            long previous = replica.nextIndex() - 1;
            sendEntries(replica, previous, state.log().termAt(previous), List.of());
        }
    }

    /** Sends entries appended since the last call, and starts a heartbeat round for new reads. */
    void flush() {
        if (pendingReads.needsRound() && hasCommittedInTerm()) {
            startHeartbeatRound();
        }
        progress.values().forEach(this::sendNewEntries);
    }

    private void sendNewEntries(Progress replica) {
        while (replica.mode() == Progress.Mode.REPLICATE
                && replica.nextIndex() <= state.log().lastIndex()
                && replica.nextIndex() - replica.matchIndex() <= MAXIMUM_ENTRIES_IN_FLIGHT) {
            long previous = replica.nextIndex() - 1;
            if (!state.log().hasTerm(previous)) {
                replica.onConflict(replica.nextIndex());
                return;
            }
            List<LogEntry> entries =
                    state.log()
                            .slice(
                                    replica.nextIndex(),
                                    replica.nextIndex() + MAXIMUM_ENTRIES_IN_FLIGHT,
                                    state.batchBytes());
            sendEntries(replica, previous, state.log().termAt(previous), entries);
            replica.onEntriesSent(entries.size());
        }
    }

    private void sendEntries(Progress replica, long previous, long term, List<LogEntry> entries) {
        AppendRequest request =
                AppendRequest.newBuilder()
                        .setPreviousIndex(previous)
                        .setPreviousTerm(term)
                        .setCommitIndex(state.commitIndex())
                        .addAllEntries(entries)
                        .setRound(lease.currentRound())
                        .build();
        state.outbox().send(state.messageTo(replica.replicaId()).setAppendRequest(request).build());
    }

    private void sendChunk(Progress replica) {
        SnapshotData data = replica.snapshot();
        int offset = (int) replica.snapshotOffset();
        int end = Math.min(offset + SNAPSHOT_CHUNK_BYTES, data.data().size());
        SnapshotChunk chunk =
                SnapshotChunk.newBuilder()
                        .setLastIndex(data.lastIndex())
                        .setLastTerm(data.lastTerm())
                        .setMembership(data.membership())
                        .setOffset(offset)
                        .setData(data.data().substring(offset, end))
                        .setLast(end == data.data().size())
                        .build();
        replica.recordChunkSent(state.nowMillis());
        state.outbox().send(state.messageTo(replica.replicaId()).setSnapshotChunk(chunk).build());
    }

    /** Updates the progress of a replica. */
    void onAppendReply(ReplicaMessage message) {
        Progress replica = progress.get(message.getFrom());
        if (replica == null) {
            return;
        }
        AppendReply reply = message.getAppendReply();
        replica.recordReply(state.nowMillis());
        replica.acknowledgeRound(reply.getRound());
        confirmRounds();
        if (reply.getSuccess()) {
            if (replica.mode() != Progress.Mode.SNAPSHOT) {
                replica.onMatch(reply.getMatchIndex());
            }
            commit();
            transfer.onMatch(replica);
        } else if (replica.mode() != Progress.Mode.SNAPSHOT
                && replica.nextIndex() > replica.matchIndex() + 1) {
            // The conflict index may precede the match index, as it is the first index of a term.
            replica.onConflict(reply.getConflictIndex());
            sendHeartbeat(replica);
        }
    }

    /** Continues or completes a snapshot transfer. */
    void onSnapshotReply(ReplicaMessage message) {
        Progress replica = progress.get(message.getFrom());
        if (replica == null) {
            return;
        }
        replica.recordReply(state.nowMillis());
        SnapshotReply reply = message.getSnapshotReply();
        if (replica.mode() != Progress.Mode.SNAPSHOT
                || replica.snapshot().lastIndex() != reply.getLastIndex()) {
            return;
        }
        if (reply.getInstalled()) {
            replica.finishSnapshot();
        } else if (reply.getNextOffset() != replica.snapshotOffset()) {
            replica.continueSnapshot(reply.getNextOffset());
            sendChunk(replica);
        }
    }

    /** Advances the commit index to the last entry that a majority of the voters has synced. */
    void commit() {
        long index = majorityValue(state.outbox().syncedIndex(), Progress::matchIndex);
        boolean committable =
                state.log().termAt(index) == state.term()
                        || !state.isEnabled(Mechanism.CURRENT_TERM_COMMIT);
        if (index > state.commitIndex() && committable) {
            state.setCommitIndex(index);
        }
    }

    private void confirmRounds() {
        lease.confirmRound(majorityValue(lease.currentRound(), Progress::acknowledgedRound));
        pendingReads.confirmRounds(lease.confirmedRound());
    }

    /** Returns the largest value that a majority of the voters has reached. */
    private long majorityValue(long ownValue, ToLongFunction<Progress> value) {
        long[] values = new long[state.membership().voters().size()];
        int count = 0;
        for (String voter : state.membership().voters()) {
            Progress replica = progress.get(voter);
            values[count++] = replica == null ? ownValue : value.applyAsLong(replica);
        }
        Arrays.sort(values);
        return values.length == 0 ? 0 : values[values.length - state.membership().quorum()];
    }

    /** Registers a read, which is confirmed by the lease or by a heartbeat round. */
    void requestRead(long id) {
        if (!state.isEnabled(Mechanism.READ_CONFIRMATION)
                || (hasCommittedInTerm() && lease.isValid(state.nowMillis()))) {
            pendingReads.confirmNow(id, state.commitIndex());
        } else {
            pendingReads.add(id);
        }
    }

    List<ConfirmedRead> takeConfirmedReads(long appliedIndex) {
        return pendingReads.takeConfirmed(appliedIndex);
    }

    /** Ends the lease; reads are confirmed by heartbeat rounds until it is granted again. */
    void endLease() {
        lease.end();
    }

    boolean holdsLease() {
        return hasCommittedInTerm() && lease.isValid(state.nowMillis());
    }
}
