package org.yuccabank.replication;

import com.google.protobuf.ByteString;
import java.io.IOException;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.yuccabank.event.Event;
import org.yuccabank.protocol.generated.LogEntry;
import org.yuccabank.protocol.generated.ReplicaMessage;
import org.yuccabank.result.Place;
import org.yuccabank.result.Result;

/**
 * A replica without a thread: joins the protocol core, the durable state and the state machine. Its
 * owner calls one method at a time, then {@link #step}, and {@link #sync} if that asks for it. The
 * time is an argument, in milliseconds of a clock that never runs backwards. Not thread-safe.
 *
 * <p>A replica whose disk fails stops: it sends nothing and ends all proposals.
 */
public final class ReplicaNode {

    /** Larger commands are refused, so that a batch always fits into a frame. */
    public static final int MAXIMUM_COMMAND_BYTES = 1 << 20;

    private static final byte[] NO_RESULT = {};

    /** Part of the log before a snapshot that is kept for replicas that are a little behind. */
    private static final int KEPT_ENTRIES_DIVISOR = 4;

    private final ReplicaSettings settings;
    private final StateMachine stateMachine;
    private final ReplicaTransport transport;
    private final ReplicaEventListener eventListener;
    private final ReplicaStorage storage;
    private final ReplicaCore core;
    private final PendingRequests pendingRequests = new PendingRequests();
    private LeaderListener leaderListener = (leader, term) -> {};
    private Optional<String> stopReason = Optional.empty();
    private long leaderTerm;
    private boolean leadershipAnnounced;
    private long writtenSequence;
    private long syncedSequence;
    private long snapshotIndex;

    private ReplicaNode(
            ReplicaSettings settings,
            StateMachine stateMachine,
            ReplicaTransport transport,
            ReplicaEventListener eventListener,
            ReplicaStorage storage,
            ReplicaCore core) {
        this.settings = settings;
        this.stateMachine = stateMachine;
        this.transport = transport;
        this.eventListener = eventListener;
        this.storage = storage;
        this.core = core;
    }

    /**
     * What a node uses of its surroundings.
     *
     * @param stateMachine the state to replicate
     * @param transport sends messages
     * @param directory holds the durable state; closed with the node
     * @param eventListener receives log events
     * @param random source of election timeouts
     */
    public record Environment(
            StateMachine stateMachine,
            ReplicaTransport transport,
            StorageDirectory directory,
            ReplicaEventListener eventListener,
            RandomGenerator random) {

        /** Checks the fields. */
        public Environment {
            Objects.requireNonNull(stateMachine, "stateMachine is null");
            Objects.requireNonNull(transport, "transport is null");
            Objects.requireNonNull(directory, "directory is null");
            Objects.requireNonNull(eventListener, "events is null");
            Objects.requireNonNull(random, "random is null");
        }
    }

    /**
     * Reads the durable state and restores the state machine.
     *
     * @param settings settings of the replica
     * @param environment its surroundings
     * @param nowMillis the present time
     * @return the replica, or what is wrong with the durable state
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
        ReplicaEventListener eventListener = environment.eventListener();
        ReplicaStorage storage = new DiskStorage(environment.directory(), settings, eventListener);
        try {
            StoredState stored = storage.load();
            SnapshotData snapshot = stored.snapshot();
            if (snapshot.lastIndex() > 0) {
                environment.stateMachine().restore(snapshot.data().toByteArray());
            }
            ReplicaCore core =
                    new ReplicaCore(settings, options, stored, environment.random(), nowMillis);
            ReplicaNode node =
                    new ReplicaNode(
                            settings,
                            environment.stateMachine(),
                            environment.transport(),
                            eventListener,
                            storage,
                            core);
            node.snapshotIndex = snapshot.lastIndex();
            return Result.success(node);
        } catch (IOException exception) {
            boolean corrupt = exception instanceof CorruptStorageException;
            eventListener.onEvent(
                    corrupt ? Event.LOG_CORRUPT : Event.DISK_FAILED,
                    "replica",
                    settings.replicaId(),
                    "problem",
                    exception.getMessage());
            closeQuietly(storage);
            return Result.failure(
                    Place.of(settings.directory().toString()), exception.getMessage());
        }
    }

    private static void closeQuietly(ReplicaStorage storage) {
        try {
            storage.close();
        } catch (IOException ignored) {
            // The replica stops in any case, and everything acknowledged was synced before.
        }
    }

    /**
     * Sets the receiver of changes of leadership.
     *
     * @param listener the receiver
     */
    public void setLeaderListener(LeaderListener listener) {
        leaderListener = Objects.requireNonNull(listener, "listener is null");
    }

    /**
     * Accepts a message of another replica. A message of another group is ignored.
     *
     * @param message the message
     * @param nowMillis the present time
     */
    public void receive(ReplicaMessage message, long nowMillis) {
        if (isRunning() && message.getGroup().equals(settings.group())) {
            core.receive(message, nowMillis);
            detectStepDown();
        }
    }

    /**
     * Advances the time.
     *
     * @param nowMillis the present time
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
     * @param nowMillis the present time
     * @param callback called once with the outcome, by this method or by a later one
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
     * Adds a replica without a vote.
     *
     * @param member the new replica
     * @param nowMillis the present time
     * @param callback called once with the outcome
     */
    public void addLearner(
            ReplicaMember member, long nowMillis, Consumer<ProposalOutcome> callback) {
        ReplicaMember learner = ReplicaMember.learner(member.replicaId(), member.address());
        change(new MembershipChange.AddLearner(learner), nowMillis, callback);
    }

    /**
     * Gives a learner that has caught up a vote.
     *
     * @param replicaId identifier of the learner
     * @param nowMillis the present time
     * @param callback called once with the outcome
     */
    public void promote(String replicaId, long nowMillis, Consumer<ProposalOutcome> callback) {
        change(new MembershipChange.Promote(replicaId), nowMillis, callback);
    }

    /**
     * Takes the vote of a member, which goes on receiving the log.
     *
     * @param replicaId identifier of the member
     * @param nowMillis the present time
     * @param callback called once with the outcome
     */
    public void demote(String replicaId, long nowMillis, Consumer<ProposalOutcome> callback) {
        change(new MembershipChange.Demote(replicaId), nowMillis, callback);
    }

    /**
     * Removes a member.
     *
     * @param replicaId identifier of the member
     * @param nowMillis the present time
     * @param callback called once with the outcome
     */
    public void remove(String replicaId, long nowMillis, Consumer<ProposalOutcome> callback) {
        change(new MembershipChange.Remove(replicaId), nowMillis, callback);
    }

    private void change(
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
     * Requests the confirmation that the state machine may be read.
     *
     * @param nowMillis the present time
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
     * Starts handing leadership to another voter.
     *
     * @param nowMillis the present time
     * @return false if this replica does not lead or no other voter answers
     */
    public boolean transferLeadership(long nowMillis) {
        return isRunning() && core.transferLeadership(nowMillis);
    }

    /**
     * Sends messages, writes changes and applies committed entries.
     *
     * @param nowMillis the present time
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
        String address =
                core.state()
                        .membership()
                        .member(message.getTo())
                        .map(ReplicaMember::address)
                        .orElse("");
        transport.send(address, message);
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
                    entry.getIndex());
        }
        pendingRequests.onApplied(entry, result);
    }

    private void saveSnapshotIfDue() {
        if (isRunning() && core.appliedIndex() - snapshotIndex >= settings.snapshotEntries()) {
            snapshotIndex = core.appliedIndex();
            core.compact(
                    ByteString.copyFrom(stateMachine.snapshot()),
                    settings.snapshotEntries() / KEPT_ENTRIES_DIVISOR);
        }
    }

    /**
     * Syncs everything that was written, then does what waited for it.
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
                    Event.LEADER_STEPPED_DOWN, "replica", settings.replicaId(), "term", term);
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
     * Stops the replica and releases its files.
     *
     * @param reason why it stops
     */
    public void stop(String reason) {
        if (isRunning()) {
            stopReason = Optional.of(reason);
            endLeadership(reason);
            closeQuietly(storage);
        }
    }

    /**
     * Tells whether the replica takes part in its group.
     *
     * @return false once it has stopped
     */
    public boolean isRunning() {
        return stopReason.isEmpty();
    }

    /**
     * Tells whether this replica leads and has applied everything of earlier terms.
     *
     * @return true if it leads as far as it knows
     */
    public boolean isLeader() {
        return isRunning() && core.isReadyLeader();
    }

    /**
     * Tells whether this replica holds a lease, so that no other replica can lead now.
     *
     * @param nowMillis the present time
     * @return true if it holds a lease
     */
    public boolean holdsLease(long nowMillis) {
        return isRunning() && core.holdsLease(nowMillis);
    }

    /**
     * The present role.
     *
     * @return the role
     */
    public ReplicaRole role() {
        return isRunning() ? core.state().role() : ReplicaRole.STOPPED;
    }

    /**
     * The present term.
     *
     * @return the term
     */
    public long term() {
        return core.state().term();
    }

    /**
     * Last log position that this replica has applied.
     *
     * @return the position
     */
    public long appliedIndex() {
        return core.appliedIndex();
    }

    private Optional<ReplicaMember> leader() {
        CoreState state = core.state();
        return state.membership().member(state.leaderId());
    }

    private Optional<ReplicaMember> otherLeader() {
        return leader().filter(member -> !member.replicaId().equals(settings.replicaId()));
    }

    /**
     * The present state.
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
                stopReason);
    }

    /**
     * Entries of the log in memory, for checks.
     *
     * @param from first position
     * @param to last position
     * @return the entries of these positions that the log holds
     */
    public List<LogEntry> entries(long from, long to) {
        InMemoryLog log = core.state().log();
        return log.slice(Math.max(from, log.baseIndex() + 1), to, Long.MAX_VALUE);
    }
}
