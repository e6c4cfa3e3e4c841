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
    private static final int KEPT_SHARE = 4;

    private final ReplicaSettings settings;
    private final StateMachine stateMachine;
    private final ReplicaTransport transport;
    private final ReplicaEvents events;
    private final ReplicaStorage storage;
    private final ReplicaCore core;
    private final PendingProposals pending = new PendingProposals();
    private LeaderListener leaderListener = (leader, term) -> {};
    private Optional<String> stopReason = Optional.empty();
    private long leaderTerm;
    private boolean announced;
    private long writtenSequence;
    private long syncedSequence;
    private long snapshotIndex;

    private ReplicaNode(
            ReplicaSettings settings,
            StateMachine stateMachine,
            ReplicaTransport transport,
            ReplicaEvents events,
            ReplicaStorage storage,
            ReplicaCore core) {
        this.settings = settings;
        this.stateMachine = stateMachine;
        this.transport = transport;
        this.events = events;
        this.storage = storage;
        this.core = core;
    }

    /**
     * What a node uses of its surroundings.
     *
     * @param stateMachine the state to replicate
     * @param transport sends messages
     * @param directory holds the durable state; closed with the node
     * @param events receives log events
     * @param random source of election timeouts
     */
    public record Environment(
            StateMachine stateMachine,
            ReplicaTransport transport,
            StorageDirectory directory,
            ReplicaEvents events,
            RandomGenerator random) {

        /** Checks the fields. */
        public Environment {
            Objects.requireNonNull(stateMachine, "stateMachine is null");
            Objects.requireNonNull(transport, "transport is null");
            Objects.requireNonNull(directory, "directory is null");
            Objects.requireNonNull(events, "events is null");
            Objects.requireNonNull(random, "random is null");
        }
    }

    /**
     * Reads the durable state and restores the state machine.
     *
     * @param settings settings of the replica
     * @param environment its surroundings
     * @param now the present time
     * @return the replica, or what is wrong with the durable state
     */
    public static Result<ReplicaNode> open(
            ReplicaSettings settings, Environment environment, long now) {
        return open(settings, environment, now, ReplicaOptions.all());
    }

    static Result<ReplicaNode> open(
            ReplicaSettings settings, Environment environment, long now, ReplicaOptions options) {
        ReplicaEvents events = environment.events();
        ReplicaStorage storage = new DiskStorage(environment.directory(), settings, events);
        try {
            StoredState stored = storage.load();
            SnapshotData snapshot = stored.snapshot();
            if (snapshot.lastIndex() > 0) {
                environment.stateMachine().restore(snapshot.data().toByteArray());
            }
            ReplicaCore core =
                    new ReplicaCore(settings, options, stored, environment.random(), now);
            ReplicaNode node =
                    new ReplicaNode(
                            settings,
                            environment.stateMachine(),
                            environment.transport(),
                            events,
                            storage,
                            core);
            node.snapshotIndex = snapshot.lastIndex();
            return Result.success(node);
        } catch (IOException exception) {
            boolean corrupt = exception instanceof CorruptStorageException;
            events.report(
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
     * @param now the present time
     */
    public void receive(ReplicaMessage message, long now) {
        if (isRunning() && message.getGroup().equals(settings.group())) {
            core.receive(message, now);
            noticeStepDown();
        }
    }

    /**
     * Advances the time.
     *
     * @param now the present time
     */
    public void tick(long now) {
        if (isRunning()) {
            core.tick(now);
            noticeStepDown();
        }
    }

    /**
     * Proposes a command.
     *
     * @param command the command
     * @param now the present time
     * @param receiver called once with the outcome, by this method or by a later one
     */
    public void propose(byte[] command, long now, Consumer<ProposalOutcome> receiver) {
        if (command.length > MAXIMUM_COMMAND_BYTES) {
            receiver.accept(
                    new ProposalOutcome.Refused(
                            "a command of "
                                    + command.length
                                    + " bytes is larger than "
                                    + MAXIMUM_COMMAND_BYTES));
            return;
        }
        OptionalLong index = isRunning() ? core.propose(command, now) : OptionalLong.empty();
        if (index.isPresent()) {
            pending.addProposal(index.getAsLong(), core.state().term(), receiver);
        } else {
            receiver.accept(new ProposalOutcome.NotLeader(otherLeader()));
        }
    }

    /**
     * Adds a replica without a vote.
     *
     * @param member the new replica
     * @param now the present time
     * @param receiver called once with the outcome
     */
    public void addLearner(ReplicaMember member, long now, Consumer<ProposalOutcome> receiver) {
        ReplicaMember learner = ReplicaMember.learner(member.replicaId(), member.address());
        change(new MembershipChange.AddLearner(learner), now, receiver);
    }

    /**
     * Gives a learner that has caught up a vote.
     *
     * @param replicaId identifier of the learner
     * @param now the present time
     * @param receiver called once with the outcome
     */
    public void promote(String replicaId, long now, Consumer<ProposalOutcome> receiver) {
        change(new MembershipChange.Promote(replicaId), now, receiver);
    }

    /**
     * Takes the vote of a member, which goes on receiving the log.
     *
     * @param replicaId identifier of the member
     * @param now the present time
     * @param receiver called once with the outcome
     */
    public void demote(String replicaId, long now, Consumer<ProposalOutcome> receiver) {
        change(new MembershipChange.Demote(replicaId), now, receiver);
    }

    /**
     * Removes a member.
     *
     * @param replicaId identifier of the member
     * @param now the present time
     * @param receiver called once with the outcome
     */
    public void remove(String replicaId, long now, Consumer<ProposalOutcome> receiver) {
        change(new MembershipChange.Remove(replicaId), now, receiver);
    }

    private void change(MembershipChange change, long now, Consumer<ProposalOutcome> receiver) {
        if (!isRunning() || !core.acceptsProposals()) {
            receiver.accept(new ProposalOutcome.NotLeader(otherLeader()));
            return;
        }
        Result<Long> index = core.change(change, now);
        if (index.isSuccess()) {
            pending.addProposal(index.get(), core.state().term(), receiver);
        } else {
            String reason = index.findings().all().get(0).message();
            receiver.accept(new ProposalOutcome.Refused(reason));
        }
    }

    /**
     * Requests the confirmation that the state machine may be read.
     *
     * @param now the present time
     * @param receiver called once with the outcome
     */
    public void readConfirmed(long now, Consumer<ReadOutcome> receiver) {
        OptionalLong id = isRunning() ? core.read(now) : OptionalLong.empty();
        if (id.isPresent()) {
            pending.addRead(id.getAsLong(), receiver);
        } else {
            receiver.accept(new ReadOutcome.NotLeader(otherLeader()));
        }
    }

    /**
     * Starts handing leadership to another voter.
     *
     * @param now the present time
     * @return false if this replica does not lead or no other voter answers
     */
    public boolean transferLeadership(long now) {
        return isRunning() && core.transferLeadership(now);
    }

    /**
     * Sends messages, writes changes and applies committed entries.
     *
     * @param now the present time
     * @return true if there are writes to sync
     */
    public boolean step(long now) {
        while (isRunning()) {
            CoreOutput output = core.takeOutput();
            if (output.isEmpty()) {
                break;
            }
            execute(output);
            noticeStepDown();
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
        output.reads().forEach(read -> pending.confirmed(read, applied));
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
            events.report(
                    Event.MEMBERSHIP_CHANGED,
                    "replica",
                    settings.replicaId(),
                    "index",
                    entry.getIndex());
        }
        pending.applied(entry, result);
    }

    private void saveSnapshotIfDue() {
        if (isRunning() && core.appliedIndex() - snapshotIndex >= settings.snapshotEntries()) {
            snapshotIndex = core.appliedIndex();
            core.compact(
                    ByteString.copyFrom(stateMachine.snapshot()),
                    settings.snapshotEntries() / KEPT_SHARE);
        }
    }

    /**
     * Syncs everything that was written, then does what waited for it.
     *
     * @param now the time before or after the sync
     */
    public void sync(long now) {
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
        core.written(sequence, now);
        noticeStepDown();
        step(now);
    }

    private void noticeStepDown() {
        boolean leads = core.state().role() == ReplicaRole.LEADER;
        long term = core.state().term();
        if (leaderTerm != 0 && (!leads || term != leaderTerm)) {
            leaderTerm = 0;
            endLeadership("this replica no longer leads");
            events.report(Event.LEADER_STEPPED_DOWN, "replica", settings.replicaId(), "term", term);
        }
        if (leads) {
            leaderTerm = term;
        }
    }

    private void endLeadership(String reason) {
        pending.endAll(reason, new ReadOutcome.NotLeader(otherLeader()));
        if (announced) {
            announced = false;
            leaderListener.leadershipChanged(false, core.state().term());
        }
    }

    private void announceLeadership() {
        if (isRunning() && !announced && core.isReadyLeader()) {
            announced = true;
            events.report(
                    Event.LEADER_ELECTED, "replica", settings.replicaId(), "term", leaderTerm);
            leaderListener.leadershipChanged(true, leaderTerm);
        }
    }

    private void fail(IOException exception) {
        events.report(
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
     * @param now the present time
     * @return true if it holds a lease
     */
    public boolean holdsLease(long now) {
        return isRunning() && core.holdsLease(now);
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
                core.silentMillis(),
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
        EntryLog log = core.state().log();
        return log.slice(Math.max(from, log.baseIndex() + 1), to, Long.MAX_VALUE);
    }
}
