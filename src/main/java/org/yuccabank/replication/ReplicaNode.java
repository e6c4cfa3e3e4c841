package org.yuccabank.replication;

import com.google.protobuf.ByteString;
import java.io.IOException;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.yuccabank.event.Event;
import org.yuccabank.protocol.generated.LogEntry;
import org.yuccabank.protocol.generated.ReplicaMessage;
import org.yuccabank.result.Result;

/**
 * A replica without a thread of its own, which connects the protocol core with the durable state
 * and the state machine. After each call the owner calls {@link #step}, and {@link #sync} if that
 * returns true. The time is passed as an argument in milliseconds of a monotonic clock. Not
 * thread-safe.
 *
 * <p>A replica stops when its disk fails: it sends no more messages and completes all proposals. It
 * does not continue, as it is unknown which writes are durable; its owner opens it again.
 */
public final class ReplicaNode {

    /** Maximum command size, so that a batch always fits into a frame. */
    public static final int MAXIMUM_COMMAND_BYTES = 1 << 20;

    private static final byte[] NO_RESULT = {};

    /**
     * Total payload size of the entries in memory above which a snapshot replaces them, an eighth
     * of the heap of a control process with 128 MB.
     */
    static final long MAXIMUM_LOG_BYTES = 16L << 20;

    /** A quarter of the snapshot interval is kept in the log for slightly lagging replicas. */
    private static final int KEPT_ENTRIES_DIVISOR = 4;

    private final ReplicaSettings settings;
    private final StateMachine stateMachine;
    private final ReplicaTransport transport;
    private final ReplicaEventListener eventListener;
    private final ReplicaStorage storage;
    private final ReplicaCore core;
    private final PendingRequests pendingRequests = new PendingRequests();

    /**
     * Addresses of senders that are not in the membership of this replica, because it has not
     * received that part of the log yet. Without them it could not ask for the log.
     */
    private final Map<String, String> unknownSenderAddresses = new HashMap<>();

    private LeaderListener leaderListener = (leader, term) -> {};
    private Optional<String> stopReason = Optional.empty();
    private long leaderTerm;
    private boolean leadershipAnnounced;
    private long writtenSequence;
    private long syncedSequence;
    private long snapshotIndex;

    ReplicaNode(
            ReplicaSettings settings,
            Environment environment,
            ReplicaStorage storage,
            ReplicaCore core,
            long snapshotIndex) {
        this.settings = settings;
        this.stateMachine = environment.stateMachine();
        this.transport = environment.transport();
        this.eventListener = environment.eventListener();
        this.storage = storage;
        this.core = core;
        this.snapshotIndex = snapshotIndex;
    }

    /**
     * Dependencies of a node.
     *
     * @param stateMachine state machine to replicate
     * @param transport sends messages to the other replicas
     * @param directory directory of the durable state, closed with the node
     * @param eventListener receives log events
     * @param random source of randomness for election timeouts
     */
    public record Environment(
            StateMachine stateMachine,
            ReplicaTransport transport,
            StorageDirectory directory,
            ReplicaEventListener eventListener,
            RandomGenerator random) {

        /** Validates that no component is null. */
        public Environment {
            Objects.requireNonNull(stateMachine, "stateMachine is null");
            Objects.requireNonNull(transport, "transport is null");
            Objects.requireNonNull(directory, "directory is null");
            Objects.requireNonNull(eventListener, "eventListener is null");
            Objects.requireNonNull(random, "random is null");
        }
    }

    /**
     * Loads the durable state and restores the state machine.
     *
     * @param settings settings of the replica
     * @param environment dependencies of the replica
     * @param nowMillis the current time
     * @return the replica, or a failure if the durable state cannot be loaded
     */
    public static Result<ReplicaNode> open(
            ReplicaSettings settings, Environment environment, long nowMillis) {
        return open(settings, environment, nowMillis, ReplicaOptions.all());
    }

    static Result<ReplicaNode> open(
            ReplicaSettings settings,
            Environment environment,
            long nowMillis,
            ReplicaOptions options) {
        return new ReplicaLoader(settings, environment, options)
                .load(nowMillis, ReplicaStorage::load);
    }

    /**
     * Opens a replica again that has stopped in this process, and resets the state machine to the
     * durable state.
     *
     * @param settings settings of the replica
     * @param environment dependencies of the replica
     * @param nowMillis the current time
     * @return the replica, or a failure if the durable state cannot be loaded or written
     */
    static Result<ReplicaNode> reopen(
            ReplicaSettings settings, Environment environment, long nowMillis) {
        return new ReplicaLoader(settings, environment, ReplicaOptions.all())
                .load(nowMillis, ReplicaStorage::reload);
    }

    static void closeQuietly(ReplicaStorage storage) {
        try {
            storage.close();
        } catch (IOException ignored) {
            // Ignored because the replica stops anyway and all acknowledged writes are synced.
        }
    }

    /**
     * Sets the listener for leadership changes.
     *
     * @param listener the listener
     */
    public void setLeaderListener(LeaderListener listener) {
        leaderListener = Objects.requireNonNull(listener, "listener is null");
    }

    /**
     * Compares the clocks of the host. The owner reads both and calls this method before each other
     * call that takes the time, as a lease does not hold across a suspension of the host.
     *
     * @param nowMillis the current time
     * @param wallMillis the time of day, read after the current time
     */
    public void observeClocks(long nowMillis, long wallMillis) {
        core.observeClocks(nowMillis, wallMillis);
    }

    /**
     * Handles a message from another replica. Messages of other groups are ignored.
     *
     * @param message the message
     * @param nowMillis the current time
     */
    public void receive(ReplicaMessage message, long nowMillis) {
        if (isRunning() && message.getGroup().equals(settings.group())) {
            recordUnknownSender(message);
            core.receive(message, nowMillis);
            detectStepDown();
        }
    }

    private void recordUnknownSender(ReplicaMessage message) {
        if (member(message.getFrom()).isEmpty() && !message.getFromAddress().isEmpty()) {
            unknownSenderAddresses.put(message.getFrom(), message.getFromAddress());
        }
    }

    private Optional<ReplicaMember> member(String replicaId) {
        return core.state().membership().member(replicaId);
    }

    /**
     * Advances the time.
     *
     * @param nowMillis the current time
     */
    public void tick(long nowMillis) {
        if (isRunning()) {
            core.tick(nowMillis);
            detectStepDown();
        }
    }

    /**
     * Proposes a command.
     *
     * @param command the command
     * @param nowMillis the current time
     * @param callback called once with the outcome, during this or a later call
     */
    public void propose(byte[] command, long nowMillis, Consumer<ProposalOutcome> callback) {
        if (command.length > MAXIMUM_COMMAND_BYTES) {
            callback.accept(
                    new ProposalOutcome.Refused(
                            "a command of "
                                    + command.length
                                    + " bytes is larger than "
                                    + MAXIMUM_COMMAND_BYTES));
            return;
        }
        OptionalLong index = isRunning() ? core.propose(command, nowMillis) : OptionalLong.empty();
        if (index.isPresent()) {
            pendingRequests.addProposal(index.getAsLong(), core.state().term(), callback);
        } else {
            callback.accept(new ProposalOutcome.NotLeader(otherLeader()));
        }
    }

    /**
     * Adds a learner.
     *
     * @param member the new replica
     * @param nowMillis the current time
     * @param callback called once with the outcome
     */
    public void addLearner(
            ReplicaMember member, long nowMillis, Consumer<ProposalOutcome> callback) {
        ReplicaMember learner = ReplicaMember.learner(member.replicaId(), member.address());
        proposeChange(new MembershipChange.AddLearner(learner), nowMillis, callback);
    }

    /**
     * Promotes a learner that has caught up to a voter.
     *
     * @param replicaId identifier of the learner
     * @param nowMillis the current time
     * @param callback called once with the outcome
     */
    public void promote(String replicaId, long nowMillis, Consumer<ProposalOutcome> callback) {
        proposeChange(new MembershipChange.Promote(replicaId), nowMillis, callback);
    }

    /**
     * Demotes a voter to a learner, which still receives the log.
     *
     * @param replicaId identifier of the voter
     * @param nowMillis the current time
     * @param callback called once with the outcome
     */
    public void demote(String replicaId, long nowMillis, Consumer<ProposalOutcome> callback) {
        proposeChange(new MembershipChange.Demote(replicaId), nowMillis, callback);
    }

    /**
     * Removes a member.
     *
     * @param replicaId identifier of the member
     * @param nowMillis the current time
     * @param callback called once with the outcome
     */
    public void remove(String replicaId, long nowMillis, Consumer<ProposalOutcome> callback) {
        proposeChange(new MembershipChange.Remove(replicaId), nowMillis, callback);
    }

    private void proposeChange(
            MembershipChange change, long nowMillis, Consumer<ProposalOutcome> callback) {
        if (!isRunning() || !core.acceptsProposals()) {
            callback.accept(new ProposalOutcome.NotLeader(otherLeader()));
            return;
        }
        Result<Long> index = core.proposeMembershipChange(change, nowMillis);
        if (index.isSuccess()) {
            pendingRequests.addProposal(index.get(), core.state().term(), callback);
        } else {
            String reason = index.findings().all().get(0).message();
            callback.accept(new ProposalOutcome.Refused(reason));
        }
    }

    /**
     * Requests confirmation that the state machine can be read linearizably.
     *
     * @param nowMillis the current time
     * @param callback called once with the outcome
     */
    public void readConfirmed(long nowMillis, Consumer<ReadOutcome> callback) {
        OptionalLong id = isRunning() ? core.requestRead(nowMillis) : OptionalLong.empty();
        if (id.isPresent()) {
            pendingRequests.addRead(id.getAsLong(), callback);
        } else {
            callback.accept(new ReadOutcome.NotLeader(otherLeader()));
        }
    }

    /**
     * Starts a leadership transfer to another voter.
     *
     * @param nowMillis the current time
     * @return false if this replica is not the leader, a transfer is in progress or no other voter
     *     responds
     */
    public boolean transferLeadership(long nowMillis) {
        return isRunning() && core.transferLeadership(nowMillis);
    }

    /**
     * Sends pending messages, writes pending changes and applies committed entries.
     *
     * @param nowMillis the current time
     * @return true if there are writes to sync
     */
    public boolean step(long nowMillis) {
        while (isRunning()) {
            CoreOutput output = core.takeOutput();
            if (output.isEmpty()) {
                break;
            }
            execute(output);
            detectStepDown();
            saveSnapshotIfDue();
        }
        announceLeadership();
        return isRunning() && syncedSequence < writtenSequence;
    }

    private void execute(CoreOutput output) {
        output.messages().forEach(this::send);
        output.writes().ifPresent(this::write);
        output.restore().ifPresent(this::restore);
        output.committed().forEach(this::apply);
        long applied = core.appliedIndex();
        output.reads().forEach(read -> pendingRequests.onReadConfirmed(read, applied));
    }

    private void send(ReplicaMessage message) {
        String receiver = message.getTo();
        String address =
                member(receiver)
                        .map(ReplicaMember::address)
                        .orElseGet(() -> unknownSenderAddresses.getOrDefault(receiver, ""));
        String ownAddress = member(settings.replicaId()).map(ReplicaMember::address).orElse("");
        transport.send(address, message.toBuilder().setFromAddress(ownAddress).build());
    }

    private void write(WriteBatch batch) {
        try {
            storage.write(batch);
            writtenSequence = batch.sequence();
        } catch (IOException exception) {
            fail(exception);
        }
    }

    private void restore(SnapshotData data) {
        stateMachine.restore(data.data().toByteArray());
        snapshotIndex = data.lastIndex();
    }

    private void apply(LogEntry entry) {
        byte[] result = NO_RESULT;
        if (entry.getType() == LogEntry.Type.COMMAND) {
            result = stateMachine.apply(entry.getIndex(), entry.getPayload().toByteArray());
        } else if (entry.getType() == LogEntry.Type.MEMBERSHIP) {
            eventListener.onEvent(
                    Event.MEMBERSHIP_CHANGED,
                    "replica",
                    settings.replicaId(),
                    "index",
                    entry.getIndex(),
                    "voters",
                    status().voters(),
                    "quorum",
                    status().quorum());
        }
        pendingRequests.onApplied(entry, result);
    }

    private void saveSnapshotIfDue() {
        long newEntries = core.appliedIndex() - snapshotIndex;
        boolean due =
                newEntries >= settings.snapshotEntries()
                        || (newEntries > 0
                                && core.state().log().payloadBytes() > MAXIMUM_LOG_BYTES);
        if (isRunning() && due) {
            snapshotIndex = core.appliedIndex();
            int keptEntries =
                    Math.min(
                            settings.snapshotEntries() / KEPT_ENTRIES_DIVISOR,
                            core.state()
                                    .log()
                                    .countWithin(
                                            snapshotIndex,
                                            MAXIMUM_LOG_BYTES / KEPT_ENTRIES_DIVISOR));
            core.compact(ByteString.copyFrom(stateMachine.snapshot()), keptEntries);
        }
    }

    /**
     * Syncs all written changes, then performs the actions that depend on them.
     *
     * @param nowMillis the time before or after the sync
     */
    public void sync(long nowMillis) {
        if (!isRunning()) {
            return;
        }
        long sequence = writtenSequence;
        try {
            storage.sync();
        } catch (IOException exception) {
            fail(exception);
            return;
        }
        syncedSequence = sequence;
        core.onSynced(sequence, nowMillis);
        detectStepDown();
        step(nowMillis);
    }

    private void detectStepDown() {
        boolean isLeader = core.state().role() == ReplicaRole.LEADER;
        long term = core.state().term();
        if (leaderTerm != 0 && (!isLeader || term != leaderTerm)) {
            leaderTerm = 0;
            endLeadership("this replica no longer leads");
            eventListener.onEvent(
                    Event.LEADER_STEPPED_DOWN,
                    "replica",
                    settings.replicaId(),
                    "term",
                    term,
                    "voters",
                    status().voters(),
                    "quorum",
                    status().quorum());
        }
        if (isLeader) {
            leaderTerm = term;
        }
    }

    private void endLeadership(String reason) {
        pendingRequests.completeAll(reason, new ReadOutcome.NotLeader(otherLeader()));
        if (leadershipAnnounced) {
            leadershipAnnounced = false;
            leaderListener.onLeadershipChanged(false, core.state().term());
        }
    }

    private void announceLeadership() {
        if (isRunning() && !leadershipAnnounced && core.isReadyLeader()) {
            leadershipAnnounced = true;
            eventListener.onEvent(
                    Event.LEADER_ELECTED, "replica", settings.replicaId(), "term", leaderTerm);
            leaderListener.onLeadershipChanged(true, leaderTerm);
        }
    }

    private void fail(IOException exception) {
        eventListener.onEvent(
                Event.DISK_FAILED,
                "replica",
                settings.replicaId(),
                "problem",
                exception.getMessage());
        stop("disk failed: " + exception.getMessage());
    }

    /**
     * Stops the replica and closes its files.
     *
     * @param reason why the replica is stopped
     */
    public void stop(String reason) {
        if (isRunning()) {
            stopReason = Optional.of(reason);
            endLeadership(reason);
            closeQuietly(storage);
        }
    }

    /**
     * Returns whether the replica is running.
     *
     * @return false once the replica has stopped
     */
    public boolean isRunning() {
        return stopReason.isEmpty();
    }

    /**
     * Returns whether this replica is the leader and has applied all entries of earlier terms.
     *
     * @return true if this replica is the leader as far as it knows
     */
    public boolean isLeader() {
        return isRunning() && core.isReadyLeader();
    }

    /**
     * Returns whether this replica holds a lease, so that no other replica can be the leader.
     *
     * @param nowMillis the current time
     * @return true if this replica holds a lease
     */
    public boolean holdsLease(long nowMillis) {
        return isRunning() && core.holdsLease(nowMillis);
    }

    /**
     * Returns the current role.
     *
     * @return the role
     */
    public ReplicaRole role() {
        return isRunning() ? core.state().role() : ReplicaRole.STOPPED;
    }

    /**
     * Returns the current term.
     *
     * @return the term
     */
    public long term() {
        return core.state().term();
    }

    /**
     * Returns the last log index applied to the state machine.
     *
     * @return the index
     */
    public long appliedIndex() {
        return core.appliedIndex();
    }

    private Optional<ReplicaMember> leader() {
        return member(core.state().leaderId());
    }

    private Optional<ReplicaMember> otherLeader() {
        return leader().filter(member -> !member.replicaId().equals(settings.replicaId()));
    }

    /**
     * Returns the current status.
     *
     * @return the status
     */
    public ReplicaStatus status() {
        CoreState state = core.state();
        return new ReplicaStatus(
                settings.replicaId(),
                isRunning() ? state.role() : ReplicaRole.STOPPED,
                state.term(),
                leader(),
                state.commitIndex(),
                core.appliedIndex(),
                state.log().lastIndex(),
                List.copyOf(state.membership().members()),
                core.millisSinceReply(),
                transport.unreachableMembers(state.membership().members()),
                core.caughtUpLearners(),
                stopReason);
    }

    /**
     * Returns entries of the in-memory log, for verification.
     *
     * @param from first index
     * @param to last index, inclusive
     * @return the entries in this range that are in memory
     */
    public List<LogEntry> entries(long from, long to) {
        InMemoryLog log = core.state().log();
        return log.slice(Math.max(from, log.baseIndex() + 1), to, Long.MAX_VALUE);
    }
}
