package org.yuccabank.replication;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;
import org.yuccabank.protocol.generated.ReplicaMessage;
import org.yuccabank.result.Result;

/**
 * One replica of a replicated state machine. All methods may be called by any thread. Stages
 * complete on the thread of the replica, so a dependent function may read the state machine, but
 * must not block.
 *
 * <p>This version commits on one replica in memory.
 */
public final class ReplicaService {

    private static final byte[] NO_RESULT = {};

    private final ReplicaSettings settings;
    private final StateMachine stateMachine;
    private final List<LeaderListener> listeners = new CopyOnWriteArrayList<>();
    private ExecutorService executor;
    private volatile boolean leader;
    private final AtomicLong index = new AtomicLong();

    private ReplicaService(ReplicaSettings settings, StateMachine stateMachine) {
        this.settings = settings;
        this.stateMachine = stateMachine;
    }

    /**
     * Creates a replica that is not started.
     *
     * @param settings settings of the replica
     * @param stateMachine the state to replicate, used by this replica only
     * @param transport sends messages to the other replicas
     * @return the replica
     */
    public static ReplicaService of(
            ReplicaSettings settings, StateMachine stateMachine, ReplicaTransport transport) {
        Objects.requireNonNull(settings, "settings is null");
        Objects.requireNonNull(stateMachine, "stateMachine is null");
        Objects.requireNonNull(transport, "transport is null");
        return new ReplicaService(settings, stateMachine);
    }

    /**
     * Reads the durable state, restores the state machine and starts the thread of the replica.
     *
     * @return the status after the start, or what is wrong with the durable state
     */
    public Result<ReplicaStatus> start() {
        executor = Executors.newSingleThreadExecutor();
        leader = true;
        executor.execute(() -> listeners.forEach(each -> each.leadershipChanged(true, 1)));
        return Result.success(status());
    }

    /** Stops the thread. Proposals in progress end with an unknown outcome. */
    public void stop() {
        leader = false;
        executor.shutdown();
        try {
            executor.awaitTermination(10, TimeUnit.SECONDS);
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        }
    }

    /**
     * Accepts a message of another replica.
     *
     * @param message the message
     */
    public void receive(ReplicaMessage message) {
        Objects.requireNonNull(message, "message is null");
    }

    /**
     * Proposes a command.
     *
     * @param command the command, at most 1 MiB
     * @return completes with the outcome
     */
    public CompletionStage<ProposalOutcome> propose(byte[] command) {
        return CompletableFuture.supplyAsync(() -> apply(command), executor);
    }

    private ProposalOutcome apply(byte[] command) {
        long position = index.incrementAndGet();
        return new ProposalOutcome.Committed(position, stateMachine.apply(position, command));
    }

    /**
     * Confirms that the local state machine may be read.
     *
     * @return completes once the state contains everything committed before this call
     */
    public CompletionStage<ReadOutcome> readConfirmed() {
        return CompletableFuture.supplyAsync(
                () -> new ReadOutcome.Confirmed(index.get()), executor);
    }

    /**
     * Runs a function on the thread of the replica, which may read the state machine there. The
     * state may be out of date; see {@link #readConfirmed}.
     *
     * @param function the function, which must not block
     * @param <T> type of the result
     * @return completes with the result
     */
    public <T> CompletionStage<T> call(Supplier<T> function) {
        return CompletableFuture.supplyAsync(function, executor);
    }

    /**
     * Tells whether this replica leads and is ready to serve. The answer may be out of date when it
     * is returned; only a committed proposal or a confirmed read proves leadership.
     *
     * @return true if this replica leads as far as it knows
     */
    public boolean isLeader() {
        return leader;
    }

    /**
     * Adds a listener for changes of leadership.
     *
     * @param listener the listener
     */
    public void addLeaderListener(LeaderListener listener) {
        listeners.add(Objects.requireNonNull(listener, "listener is null"));
    }

    /**
     * The present state of the replica.
     *
     * @return the status
     */
    public ReplicaStatus status() {
        ReplicaRole role = leader ? ReplicaRole.LEADER : ReplicaRole.STOPPED;
        Optional<ReplicaMember> self =
                settings.initialMembers().stream()
                        .filter(member -> member.replicaId().equals(settings.replicaId()))
                        .findFirst();
        return new ReplicaStatus(
                settings.replicaId(),
                role,
                1,
                self,
                index.get(),
                index.get(),
                index.get(),
                settings.initialMembers(),
                Optional.empty());
    }

    /**
     * Hands leadership to the voter with the most complete log.
     *
     * @return completes with true once another replica leads, with false if none took over
     */
    public CompletionStage<Boolean> transferLeadership() {
        return CompletableFuture.completedFuture(false);
    }

    /**
     * Adds a replica without a vote.
     *
     * @param replicaId identifier, never used before in this group
     * @param address where it receives messages
     * @return completes with the outcome
     */
    public CompletionStage<ProposalOutcome> addLearner(String replicaId, String address) {
        return CompletableFuture.completedFuture(
                new ProposalOutcome.Committed(index.get(), NO_RESULT));
    }

    /**
     * Gives a learner a vote. Refused until the learner has caught up.
     *
     * @param replicaId identifier of the learner
     * @return completes with the outcome
     */
    public CompletionStage<ProposalOutcome> promote(String replicaId) {
        return CompletableFuture.completedFuture(
                new ProposalOutcome.Committed(index.get(), NO_RESULT));
    }

    /**
     * Removes a replica from the group. Its identifier can not be used again.
     *
     * @param replicaId identifier of the replica
     * @return completes with the outcome
     */
    public CompletionStage<ProposalOutcome> remove(String replicaId) {
        return CompletableFuture.completedFuture(
                new ProposalOutcome.Committed(index.get(), NO_RESULT));
    }
}
