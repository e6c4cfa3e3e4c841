package org.yuccabank.replication;

import java.util.random.RandomGenerator;
import org.yuccabank.protocol.generated.HardState;
import org.yuccabank.protocol.generated.LogEntry;
import org.yuccabank.protocol.generated.ReplicaMessage;

/**
 * State shared by the parts of a {@link ReplicaCore}: term, vote, role, log and membership. Not
 * thread-safe.
 */
final class CoreState {

    /** Largest factor of the random part of the election timeout: 300 ms become 2.4 s. */
    private static final int MAXIMUM_SPREAD = 8;

    private final ReplicaSettings settings;
    private final ReplicaOptions options;
    private final RandomGenerator random;
    private final EntryLog log;
    private final MembershipHistory membership;
    private final Outbox outbox;
    private long now;
    private long term;
    private String vote;
    private ReplicaRole role = ReplicaRole.FOLLOWER;
    private String leaderId = "";
    private long commitIndex;
    private long lastLeaderContact;
    private long electionDeadline;
    private int candidacies;
    private SnapshotData snapshot;

    CoreState(
            ReplicaSettings settings,
            ReplicaOptions options,
            StoredState stored,
            RandomGenerator random,
            long now) {
        this.settings = settings;
        this.options = options;
        this.random = random;
        this.now = now;
        log = new EntryLog(stored.baseIndex(), stored.baseTerm(), stored.entries());
        snapshot = stored.snapshot();
        membership = new MembershipHistory(snapshot.lastIndex(), snapshot.membership());
        stored.entries().stream()
                .filter(entry -> entry.getIndex() > snapshot.lastIndex())
                .forEach(membership::observe);
        commitIndex = snapshot.lastIndex();
        vote = stored.hardState().getVote();
        term = stored.hardState().getTerm();
        if (log.lastTerm() > term) {
            // The entries were synced and the new term was not: the vote belongs to an older term.
            term = log.lastTerm();
            vote = "";
        }
        outbox = new Outbox(options.uses(Mechanism.SYNC_BEFORE_ACKNOWLEDGE), log.lastIndex());
        // The leader may hold a lease that this replica granted before it was restarted.
        lastLeaderContact = now;
        resetElectionDeadline();
    }

    boolean uses(Mechanism mechanism) {
        return options.uses(mechanism);
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

    EntryLog log() {
        return log;
    }

    MembershipHistory membership() {
        return membership;
    }

    Outbox outbox() {
        return outbox;
    }

    long now() {
        return now;
    }

    void advance(long time) {
        now = Math.max(now, time);
    }

    long term() {
        return term;
    }

    String vote() {
        return vote;
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
            candidacies = 0;
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
     * Tells whether this replica may become leader. A voter that stores its own removal still may
     * while the removal is not committed, because its log can be the only one that is complete
     * enough to win.
     */
    boolean mayCampaign() {
        long latest = membership.latestIndex();
        return isSelfVoter() || (latest > commitIndex && membership.isVoterAt(latest - 1, id()));
    }

    /** Enters a term and records a vote in it; both are written. */
    void enterTerm(long newTerm, String newVote) {
        term = newTerm;
        vote = newVote;
        outbox.writeHardState(
                HardState.newBuilder()
                        .setTerm(term)
                        .setVote(vote)
                        .setGroup(settings.group())
                        .setReplicaId(id())
                        .build());
    }

    /** Follows a leader, or nobody yet if the name is empty. */
    void follow(String leader) {
        role = isSelfVoter() ? ReplicaRole.FOLLOWER : ReplicaRole.LEARNER;
        leaderId = leader;
    }

    void noteLeaderContact() {
        lastLeaderContact = now;
        candidacies = 0;
        resetElectionDeadline();
    }

    boolean heardFromLeaderRecently() {
        return now - lastLeaderContact < timing().electionTimeoutMillis();
    }

    boolean isElectionDue() {
        return now >= electionDeadline;
    }

    /** An election begins; those before it in a row found no leader. */
    void noteCandidacy() {
        candidacies++;
    }

    /**
     * Chooses the next election timeout. The random part grows with each election that found no
     * leader, so that candidates whose messages take about as long as that part do not split the
     * votes again and again.
     */
    void resetElectionDeadline() {
        electionDeadline =
                now
                        + timing().electionTimeoutMillis()
                        + random.nextLong(
                                timing().electionSpreadMillis()
                                        * Math.max(1, Math.min(MAXIMUM_SPREAD, candidacies)));
    }

    /** Appends an entry to the log and to the writes. */
    void append(LogEntry entry) {
        log.append(entry);
        membership.observe(entry);
        outbox.append(entry);
    }

    /** Removes entries that conflict with those of the leader. */
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
