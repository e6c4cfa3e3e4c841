package org.yuccabank.replication;

import com.google.protobuf.ByteString;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;
import org.yuccabank.protocol.generated.AppendReply;
import org.yuccabank.protocol.generated.LogEntry;
import org.yuccabank.protocol.generated.Membership;
import org.yuccabank.protocol.generated.ReplicaMessage;
import org.yuccabank.result.Result;
import org.yuccabank.result.SourcePosition;

/**
 * Deterministic core of the replication protocol, which is a variant of Raft. The core performs no
 * I/O and reads no clock: its owner passes in messages, the time, proposals and completed syncs,
 * and executes the resulting {@link CoreOutput}.
 *
 * <p>Invariants: a term has at most one leader; a committed entry is in the log of every later
 * leader; votes and entries are acknowledged only after they are synced. Not thread-safe.
 */
final class ReplicaCore {

    /** Maximum number of entries that a learner may lag behind when it is promoted. */
    private static final int MAXIMUM_PROMOTION_LAG_ENTRIES = 64;

    private final CoreState state;
    private final Election election;
    private final LogFollower logFollower;
    private final ClockComparison clocks = new ClockComparison();
    private Leadership leadership;
    private long appliedIndex;
    private long nextReadId;

    /**
     * Creates a core.
     *
     * @param settings settings of the replica
     * @param options enabled mechanisms
     * @param stored durable state loaded from disk
     * @param random source of randomness for election timeouts
     * @param nowMillis current time of a monotonic clock
     */
    ReplicaCore(
            ReplicaSettings settings,
            ReplicaOptions options,
            StoredState stored,
            RandomGenerator random,
            long nowMillis) {
        state = new CoreState(settings, options, stored, random, nowMillis);
        election = new Election(state);
        logFollower = new LogFollower(state);
        appliedIndex = stored.snapshot().lastIndex();
        state.becomeFollower("");
    }

    /** Ends the lease of this leader if its host may have been suspended. */
    void observeClocks(long nowMillis, long wallMillis) {
        boolean diverged = clocks.hasDiverged(nowMillis, wallMillis);
        if (diverged && leadership != null && state.isEnabled(Mechanism.CLOCK_COMPARISON)) {
            leadership.endLease();
        }
    }

    /** Handles a message from another replica. */
    void receive(ReplicaMessage message, long nowMillis) {
        state.advanceTime(nowMillis);
        if (!message.getTo().equals(state.id())) {
            return;
        }
        if (message.hasVoteRequest()) {
            onVoteRequest(message);
        } else if (message.hasVoteReply()) {
            onVoteReply(message);
        } else if (message.getTerm() < state.term()) {
            rejectStaleTerm(message);
        } else {
            onCurrentTerm(message);
        }
        becomeLeaderIfElected();
    }

    private void onVoteRequest(ReplicaMessage message) {
        boolean refused = election.mustProtectLeader(message.getVoteRequest());
        boolean preVote = message.getVoteRequest().getPreVote();
        if (!refused && !preVote && message.getTerm() > state.term()) {
            stepDown(message.getTerm(), "");
        }
        election.onRequest(message, refused);
    }

    private void onVoteReply(ReplicaMessage message) {
        boolean granted = message.getVoteReply().getGranted();
        if (!granted && message.getTerm() > state.term()) {
            stepDown(message.getTerm(), "");
        } else {
            election.onReply(message);
        }
    }

    /** Informs the leader of an earlier term about the current term. */
    private void rejectStaleTerm(ReplicaMessage message) {
        if (message.hasAppendRequest() || message.hasSnapshotChunk()) {
            AppendReply reply = AppendReply.newBuilder().setConflictIndex(0).build();
            state.outbox()
                    .sendAfterSync(
                            state.messageTo(message.getFrom()).setAppendReply(reply).build());
        }
    }

    private void onCurrentTerm(ReplicaMessage message) {
        if (message.getTerm() > state.term()) {
            stepDown(message.getTerm(), "");
        }
        if (message.hasAppendRequest() || message.hasSnapshotChunk()) {
            onLeaderMessage(message);
        } else if (message.hasTransferLeadership()) {
            if (state.isSelfVoter() && state.role() != ReplicaRole.LEADER) {
                election.start(true);
            }
        } else if (leadership != null && message.hasAppendReply()) {
            leadership.onAppendReply(message);
            stepDownIfRemoved();
        } else if (leadership != null && message.hasSnapshotReply()) {
            leadership.onSnapshotReply(message);
        }
    }

    private void onLeaderMessage(ReplicaMessage message) {
        if (state.role() == ReplicaRole.LEADER) {
            return;
        }
        state.becomeFollower(message.getFrom());
        state.recordLeaderContact();
        if (message.hasAppendRequest()) {
            logFollower.onAppend(message);
        } else {
            logFollower.onChunk(message);
        }
        state.becomeFollower(message.getFrom());
    }

    /** Advances the time, which may start an election or send heartbeats. */
    void tick(long nowMillis) {
        state.advanceTime(nowMillis);
        if (leadership == null) {
            election.tick();
            becomeLeaderIfElected();
        } else if (!leadership.tick()) {
            stepDown(state.term(), "");
        }
    }

    /** Records that all writes up to a sequence number are synced. */
    void onSynced(long sequence, long nowMillis) {
        state.advanceTime(nowMillis);
        state.outbox().onSynced(sequence);
        becomeLeaderIfElected();
        commitSyncedEntries();
    }

    private void commitSyncedEntries() {
        if (leadership != null) {
            leadership.commit();
            stepDownIfRemoved();
        }
    }

    private void becomeLeaderIfElected() {
        if (election.isWon()) {
            state.setRole(ReplicaRole.LEADER);
            state.setLeaderId(state.id());
            leadership = new Leadership(state);
            leadership.start();
        }
    }

    private void stepDown(long term, String leader) {
        if (term > state.term()) {
            state.enterTerm(term, "");
        }
        if (leadership != null) {
            leadership = null;
            state.resetElectionDeadline();
        }
        state.becomeFollower(leader);
    }

    private void stepDownIfRemoved() {
        boolean committed = state.commitIndex() >= state.membership().latestIndex();
        if (committed && !state.isSelfVoter()) {
            // A last heartbeat informs the other replicas that the change is committed.
            leadership.startHeartbeatRound();
            stepDown(state.term(), "");
        }
    }

    /**
     * Appends a command to the log.
     *
     * @return the log index, or empty if this replica does not accept proposals
     */
    OptionalLong propose(byte[] command, long nowMillis) {
        state.advanceTime(nowMillis);
        if (!acceptsProposals()) {
            return OptionalLong.empty();
        }
        return OptionalLong.of(
                leadership.append(LogEntry.Type.COMMAND, ByteString.copyFrom(command)));
    }

    boolean acceptsProposals() {
        return leadership != null && !leadership.transfer().isInProgress();
    }

    /**
     * Appends a membership change to the log.
     *
     * @return the log index, or a failure with the reason for the refusal
     */
    Result<Long> proposeMembershipChange(MembershipChange change, long nowMillis) {
        state.advanceTime(nowMillis);
        if (!acceptsProposals()) {
            return refused("this replica is not the leader");
        }
        boolean noChangePending =
                leadership.hasCommittedInTerm()
                        && state.commitIndex() >= state.membership().latestIndex();
        if (!noChangePending && state.isEnabled(Mechanism.ONE_CHANGE_AT_A_TIME)) {
            return refused("an earlier change of membership is in progress");
        }
        if (change instanceof MembershipChange.Promote promote
                && state.isEnabled(Mechanism.LEARNER_BEFORE_VOTER)
                && !hasCaughtUp(promote.replicaId())) {
            return refused("replica " + promote.replicaId() + " has not caught up");
        }
        Result<Membership> changed = change.applyTo(state.membership().latest());
        return changed.map(
                membership ->
                        leadership.append(LogEntry.Type.MEMBERSHIP, membership.toByteString()));
    }

    private static Result<Long> refused(String reason) {
        return Result.failure(SourcePosition.ofSource("membership"), reason);
    }

    private boolean hasCaughtUp(String replicaId) {
        Progress progress = leadership.progress(replicaId);
        return progress != null
                && progress.matchIndex() + MAXIMUM_PROMOTION_LAG_ENTRIES >= state.log().lastIndex()
                && progress.matchIndex() >= leadership.firstIndexOfTerm()
                && state.nowMillis() - progress.lastReplyMillis()
                        < state.timing().electionTimeoutMillis();
    }

    /** Returns the time since the last reply of each other member; empty if not the leader. */
    Map<String, Long> millisSinceReply() {
        if (leadership == null) {
            return Map.of();
        }
        return leadership.progress().stream()
                .collect(
                        Collectors.toUnmodifiableMap(
                                Progress::replicaId,
                                each -> state.nowMillis() - each.lastReplyMillis()));
    }

    /** Returns the learners that can be promoted; empty if not the leader. */
    Set<String> caughtUpLearners() {
        if (leadership == null) {
            return Set.of();
        }
        return leadership.progress().stream()
                .map(Progress::replicaId)
                .filter(id -> !state.membership().isVoter(id) && hasCaughtUp(id))
                .collect(Collectors.toUnmodifiableSet());
    }

    /**
     * Requests confirmation of a read.
     *
     * @return the identifier of the read, or empty if this replica is not the leader
     */
    OptionalLong requestRead(long nowMillis) {
        state.advanceTime(nowMillis);
        if (leadership == null) {
            return OptionalLong.empty();
        }
        nextReadId++;
        leadership.requestRead(nextReadId);
        return OptionalLong.of(nextReadId);
    }

    /**
     * Starts a leadership transfer to another voter.
     *
     * @return false if this replica is not the leader, a transfer is in progress or no other voter
     *     responds
     */
    boolean transferLeadership(long nowMillis) {
        state.advanceTime(nowMillis);
        return leadership != null && leadership.transfer().start(leadership.progress());
    }

    /**
     * Removes and returns the pending output. The owner calls this method until the output is
     * empty.
     *
     * @return the output
     */
    CoreOutput takeOutput() {
        if (leadership != null) {
            leadership.flush();
        }
        Optional<WriteBatch> writes = state.outbox().takeWrites(state.log().lastIndex());
        commitSyncedEntries();
        Optional<SnapshotData> restore = logFollower.takeRestore();
        restore.ifPresent(data -> appliedIndex = data.lastIndex());
        List<LogEntry> committed = takeCommitted();
        List<ConfirmedRead> reads =
                leadership == null ? List.of() : leadership.takeConfirmedReads(appliedIndex);
        return new CoreOutput(state.outbox().takeMessages(), writes, restore, committed, reads);
    }

    private List<LogEntry> takeCommitted() {
        if (logFollower.isRestorePending()) {
            return List.of();
        }
        long limit = Math.min(state.commitIndex(), state.outbox().syncedIndex());
        if (limit <= appliedIndex) {
            return List.of();
        }
        List<LogEntry> entries = state.log().slice(appliedIndex + 1, limit, Long.MAX_VALUE);
        appliedIndex = limit;
        return entries;
    }

    /**
     * Compacts the log with a snapshot of the state machine at the applied index.
     *
     * @param data the snapshot
     * @param keptEntries number of entries before the snapshot that are kept for lagging replicas
     */
    void compact(ByteString data, int keptEntries) {
        SnapshotData snapshot =
                new SnapshotData(
                        appliedIndex,
                        state.log().termAt(appliedIndex),
                        state.membership().membershipAt(appliedIndex),
                        data);
        state.setSnapshot(snapshot);
        state.membership().compactTo(appliedIndex);
        state.log().compactTo(Math.max(state.log().baseIndex(), appliedIndex - keptEntries));
        state.outbox().writeSnapshot(snapshot, state.log().baseIndex(), state.log().baseTerm());
    }

    boolean isReadyLeader() {
        return leadership != null
                && leadership.hasCommittedInTerm()
                && appliedIndex >= leadership.firstIndexOfTerm();
    }

    boolean holdsLease(long nowMillis) {
        state.advanceTime(nowMillis);
        return leadership != null && leadership.holdsLease();
    }

    long appliedIndex() {
        return appliedIndex;
    }

    CoreState state() {
        return state;
    }
}
