package org.yuccabank.replication;

import java.util.random.RandomGenerator;
import org.yuccabank.protocol.generated.HardState;
import org.yuccabank.protocol.generated.LogEntry;
import org.yuccabank.protocol.generated.ReplicaMessage;

/**
 * State shared by the components of a {@link ReplicaCore}: term, vote, role, log and membership.
 * Not thread-safe.
 */
final class CoreState {

    /** Maximum factor by which the election jitter grows, for example from 300 ms to 2.4 s. */
    private static final int MAXIMUM_JITTER_FACTOR = 8;

    private final ReplicaSettings settings;
    private final ReplicaOptions options;
    private final RandomGenerator random;
    private final InMemoryLog log;
    private final MembershipHistory membership;
    private final Outbox outbox;
    private long nowMillis;
    private long term;
    private String votedFor;
    private ReplicaRole role = ReplicaRole.FOLLOWER;
    private String leaderId = "";
    private long commitIndex;
    private long lastLeaderContactMillis;
    private long electionDeadlineMillis;
    private int consecutiveElections;
    private SnapshotData snapshot;

    CoreState(
            ReplicaSettings settings,
            ReplicaOptions options,
            StoredState stored,
            RandomGenerator random,
            long nowMillis) {
        this.settings = settings;
        this.options = options;
        this.random = random;
        this.nowMillis = nowMillis;
        log = new InMemoryLog(stored.baseIndex(), stored.baseTerm(), stored.entries());
        snapshot = stored.snapshot();
        membership = new MembershipHistory(snapshot.lastIndex(), snapshot.membership());
        stored.entries().stream()
                .filter(entry -> entry.getIndex() > snapshot.lastIndex())
                .forEach(membership::add);
        commitIndex = snapshot.lastIndex();
        votedFor = stored.hardState().getVote();
        term = stored.hardState().getTerm();
        if (log.lastTerm() > term) {
            // The entries were synced but their term was not, so the vote is from an older term.
            term = log.lastTerm();
            votedFor = "";
        }
        outbox = new Outbox(options.isEnabled(Mechanism.SYNC_BEFORE_ACKNOWLEDGE), log.lastIndex());
        // The leader may hold a lease that this replica granted before it restarted.
        lastLeaderContactMillis = nowMillis;
        resetElectionDeadline();
    }

    boolean isEnabled(Mechanism mechanism) {
        return options.isEnabled(mechanism);
    }

    String id() {
        return settings.replicaId();
    }

    ReplicaTiming timing() {
        return settings.timing();
    }

    int batchBytes() {
        return settings.batchBytes();
    }

    InMemoryLog log() {
        return log;
    }

    MembershipHistory membership() {
        return membership;
    }

    Outbox outbox() {
        return outbox;
    }

    long nowMillis() {
        return nowMillis;
    }

    void advanceTime(long newNowMillis) {
        nowMillis = Math.max(nowMillis, newNowMillis);
    }

    long term() {
        return term;
    }

    String votedFor() {
        return votedFor;
    }

    ReplicaRole role() {
        return role;
    }

    void setRole(ReplicaRole newRole) {
        role = newRole;
    }

    String leaderId() {
        return leaderId;
    }

    void setLeaderId(String replicaId) {
        if (replicaId.equals(id())) {
            consecutiveElections = 0;
        }
        leaderId = replicaId;
    }

    long commitIndex() {
        return commitIndex;
    }

    void setCommitIndex(long index) {
        commitIndex = Math.max(commitIndex, index);
    }

    SnapshotData snapshot() {
        return snapshot;
    }

    void setSnapshot(SnapshotData data) {
        snapshot = data;
    }

    boolean isSelfVoter() {
        return membership.isVoter(id());
    }

    /**
     * Returns whether this replica may start an election. A voter whose removal is in the log but
     * not committed may still do so, because its log may be the only one that is up to date enough
     * to win.
     */
    boolean canCampaign() {
        long latest = membership.latestIndex();
        return isSelfVoter() || (latest > commitIndex && membership.isVoterAt(latest - 1, id()));
    }

    /** Enters a term, records the vote in it and writes both to storage. */
    void enterTerm(long newTerm, String newVotedFor) {
        term = newTerm;
        votedFor = newVotedFor;
        outbox.writeHardState(
                HardState.newBuilder()
                        .setTerm(term)
                        .setVote(votedFor)
                        .setGroup(settings.group())
                        .setReplicaId(id())
                        .build());
    }

    /** Becomes a follower or learner of a leader; the name is empty if the leader is unknown. */
    void becomeFollower(String leader) {
        role = isSelfVoter() ? ReplicaRole.FOLLOWER : ReplicaRole.LEARNER;
        leaderId = leader;
    }

    void recordLeaderContact() {
        lastLeaderContactMillis = nowMillis;
        consecutiveElections = 0;
        resetElectionDeadline();
    }

    boolean heardFromLeaderRecently() {
        return nowMillis - lastLeaderContactMillis < timing().electionTimeoutMillis();
    }

    boolean isElectionDue() {
        return nowMillis >= electionDeadlineMillis;
    }

    /** Counts an election; the count is reset when a leader is found. */
    void recordElection() {
        consecutiveElections++;
    }

    /**
     * Chooses the next election timeout. The jitter grows with each consecutive election, so that
     * candidates whose message delay is close to the jitter do not split the votes repeatedly.
     */
    void resetElectionDeadline() {
        electionDeadlineMillis =
                nowMillis
                        + timing().electionTimeoutMillis()
                        + random.nextLong(
                                timing().electionJitterMillis()
                                        * Math.max(
                                                1,
                                                Math.min(
                                                        MAXIMUM_JITTER_FACTOR,
                                                        consecutiveElections)));
    }

    /** Appends an entry to the log and to the pending writes. */
    void append(LogEntry entry) {
        log.append(entry);
        membership.add(entry);
        outbox.append(entry);
    }

    /** Removes the entries from an index on, which conflict with those of the leader. */
    void truncateFrom(long index) {
        log.truncateFrom(index);
        membership.truncateFrom(index);
        outbox.truncateFrom(index);
    }

    ReplicaMessage.Builder messageTo(String replicaId) {
        return ReplicaMessage.newBuilder()
                .setGroup(settings.group())
                .setFrom(id())
                .setTo(replicaId)
                .setTerm(term);
    }
}
