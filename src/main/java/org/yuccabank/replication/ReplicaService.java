package org.yuccabank.replication;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.yuccabank.event.Event;
import org.yuccabank.event.EventLog;
import org.yuccabank.protocol.generated.ReplicaMessage;
import org.yuccabank.result.Result;
import org.yuccabank.result.SourcePosition;

/**
 * A replica of a replicated state machine, run by a thread of its own. Thread-safe. Returned stages
 * complete on the replica thread, so dependent functions must not block. A function that is added
 * to a stage from another thread may run there; only functions passed to {@link #call} and {@link
 * #callConfirmed} may read the state machine.
 *
 * <p>Inputs that arrive during a sync are handled as one batch afterwards and share the next sync.
 *
 * <p>A replica that fails, because of its disk or of an exception, is opened again from its durable
 * state until that succeeds. Meanwhile it takes no part in the group and completes requests as not
 * the leader.
 */
public final class ReplicaService {

    /** Limits how long queued inputs can delay heartbeats. */
    private static final int MAXIMUM_INPUTS_PER_STEP = 1024;

    /** Limits the memory of queued inputs; further messages are dropped, proposals are refused. */
    private static final int MAXIMUM_QUEUED_INPUTS = 65_536;

    private static final long TICK_INTERVAL_MILLIS = 10;
    private static final long STOP_TIMEOUT_MILLIS = 10_000;
    private static final String STOPPED_MESSAGE = "the replica is stopped";

    private final ReplicaSettings settings;
    private final StateMachine stateMachine;
    private final ReplicaTransport transport;
    private final DirectoryFactory directoryFactory;
    private final List<LeaderListener> listeners = new CopyOnWriteArrayList<>();
    private final BlockingQueue<Runnable> inputs = new LinkedBlockingQueue<>(MAXIMUM_QUEUED_INPUTS);
    private final List<PendingTransfer> pendingTransfers = new ArrayList<>();
    private final ReopenBackoff reopenBackoff = new ReopenBackoff();
    private ReplicaNode node;
    private Thread thread;
    private volatile boolean stopping = true;
    private volatile boolean leader;
    private volatile ReplicaStatus status;
    private volatile long failureCount;

    private record PendingTransfer(CompletableFuture<Boolean> future, long deadlineMillis) {}

    /** Opens and locks the directory of the durable state. */
    interface DirectoryFactory {

        StorageDirectory open(Path path) throws IOException;
    }

    private ReplicaService(
            ReplicaSettings settings,
            StateMachine stateMachine,
            ReplicaTransport transport,
            DirectoryFactory directoryFactory) {
        this.settings = settings;
        this.stateMachine = stateMachine;
        this.transport = transport;
        this.directoryFactory = directoryFactory;
        status = stoppedStatus();
    }

    private ReplicaStatus stoppedStatus() {
        return new ReplicaStatus(
                settings.replicaId(),
                ReplicaRole.STOPPED,
                0,
                Optional.empty(),
                0,
                0,
                0,
                settings.initialMembers(),
                Map.of(),
                Set.of(),
                Set.of(),
                Optional.of(STOPPED_MESSAGE));
    }

    /**
     * Creates a replica without starting it.
     *
     * @param settings settings of the replica
     * @param stateMachine state machine to replicate, not shared with other replicas
     * @param transport sends messages to the other replicas
     * @return the replica
     */
    public static ReplicaService of(
            ReplicaSettings settings, StateMachine stateMachine, ReplicaTransport transport) {
        return of(settings, stateMachine, transport, FileDirectory::open);
    }

    static ReplicaService of(
            ReplicaSettings settings,
            StateMachine stateMachine,
            ReplicaTransport transport,
            DirectoryFactory directoryFactory) {
        Objects.requireNonNull(settings, "settings is null");
        Objects.requireNonNull(stateMachine, "stateMachine is null");
        Objects.requireNonNull(transport, "transport is null");
        return new ReplicaService(settings, stateMachine, transport, directoryFactory);
    }

    /**
     * Loads the durable state, restores the state machine and starts the replica thread. May be
     * called only once. The state is opened again after later failures, but not after a failure of
     * this call.
     *
     * @return the initial status, or the reason why the durable state cannot be loaded
     * @throws IllegalStateException if the replica has already been started
     */
    public Result<ReplicaStatus> start() {
        if (thread != null) {
            throw new IllegalStateException("replica has already been started");
        }
        return open(ReplicaNode::open).map(this::startThread);
    }

    /**
     * Returns the identifier of the replica whose state a directory holds.
     *
     * @param directory directory of the durable state
     * @return the identifier, empty if the directory holds no state, or a failure if it cannot be
     *     read
     */
    public static Result<Optional<String>> storedReplicaId(Path directory) {
        try (StorageDirectory opened = FileDirectory.open(directory)) {
            return Result.success(DiskStorage.storedReplicaId(opened));
        } catch (IOException exception) {
            return Result.failure(
                    SourcePosition.ofSource(directory.toString()), exception.toString());
        }
    }

    private Result<StorageDirectory> openDirectory() {
        try {
            return Result.success(directoryFactory.open(settings.directory()));
        } catch (IOException exception) {
            EventLog.warning(
                    Event.DISK_FAILED,
                    "replica",
                    settings.replicaId(),
                    "problem",
                    exception.toString());
            return Result.failure(
                    SourcePosition.ofSource(settings.directory().toString()), exception.toString());
        }
    }

    /** Opens a replica whose directory is locked. */
    private interface NodeFactory {

        Result<ReplicaNode> open(
                ReplicaSettings settings, ReplicaNode.Environment environment, long nowMillis);
    }

    private Result<ReplicaNode> open(NodeFactory factory) {
        return openDirectory()
                .flatMap(directory -> factory.open(settings, environment(directory), nowMillis()))
                .map(
                        opened -> {
                            opened.setLeaderListener(this::onLeadershipChanged);
                            return opened;
                        });
    }

    private ReplicaNode.Environment environment(StorageDirectory directory) {
        return new ReplicaNode.Environment(
                stateMachine,
                transport,
                directory,
                ReplicaEventListener.logging(),
                RandomGenerator.getDefault());
    }

    private ReplicaStatus startThread(ReplicaNode opened) {
        node = opened;
        status = node.status();
        stopping = false;
        thread = new Thread(this::runLoop, "replica-" + settings.replicaId());
        thread.start();
        return status;
    }

    private static long nowMillis() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }

    /** Reads the clocks for the node and returns the time of the steady one. */
    private long observeClocks() {
        long nowMillis = nowMillis();
        node.observeClocks(nowMillis, System.currentTimeMillis());
        return nowMillis;
    }

    private void runLoop() {
        try {
            while (!stopping) {
                runStep();
            }
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        } finally {
            // Runs after an Error too, so that pending proposals and reads do not wait forever.
            shutDown();
        }
    }

    private void runStep() throws InterruptedException {
        try {
            handleInputs();
            if (node.isRunning()) {
                advance();
            } else if (reopenBackoff.isDue(nowMillis())) {
                reopen();
            }
        } catch (RuntimeException exception) {
            EventLog.error(Event.INTERNAL_ERROR, exception, "replica", settings.replicaId());
            node.stop("internal error: " + exception);
            recordFailure();
        }
    }

    private void advance() {
        node.tick(observeClocks());
        if (node.step(nowMillis())) {
            node.sync(nowMillis());
        }
        publishStatus();
        completeTransfers(false);
        if (!node.isRunning()) {
            recordFailure();
        }
    }

    private void reopen() {
        Result<ReplicaNode> opened = open(ReplicaNode::reopen);
        if (!opened.isSuccess()) {
            recordFailure();
            return;
        }
        node = opened.get();
        publishStatus();
        EventLog.information(
                Event.REPLICA_REOPENED,
                "replica",
                settings.replicaId(),
                "term",
                status.term(),
                "lastIndex",
                status.lastIndex(),
                "failures",
                failureCount);
    }

    private void recordFailure() {
        failureCount++;
        reopenBackoff.recordFailure(nowMillis());
        publishStatus();
    }

    private void publishStatus() {
        status = node.status();
        leader = node.isLeader();
    }

    private void handleInputs() throws InterruptedException {
        Runnable input = inputs.poll(TICK_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
        for (int count = 0; input != null; count++) {
            input.run();
            input = count < MAXIMUM_INPUTS_PER_STEP ? inputs.poll() : null;
        }
    }

    private void shutDown() {
        stopping = true;
        node.stop(STOPPED_MESSAGE);
        publishStatus();
        completeTransfers(true);
        // The node is stopped, so the remaining proposals and reads complete as NotLeader.
        for (Runnable input = inputs.poll(); input != null; input = inputs.poll()) {
            input.run();
        }
    }

    private void onLeadershipChanged(boolean isLeader, long term) {
        leader = isLeader;
        listeners.forEach(each -> each.onLeadershipChanged(isLeader, term));
    }

    /**
     * Stops the replica thread. Pending proposals complete with an unknown outcome. To avoid an
     * election timeout, call {@link #transferLeadership} first.
     */
    public void stop() {
        stopping = true;
        if (thread == null || thread == Thread.currentThread()) {
            return;
        }
        try {
            thread.join(STOP_TIMEOUT_MILLIS);
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        }
    }

    /** Queues an input for the replica thread; returns false if it was not accepted. */
    private boolean submit(Runnable input) {
        if (stopping || !inputs.offer(input)) {
            return false;
        }
        // The thread may have ended after the check, in which case nothing else drains the queue.
        return !stopping || !inputs.remove(input);
    }

    /**
     * Accepts a message from another replica. The message is dropped if the input queue is full.
     *
     * @param message the message
     */
    public void receive(ReplicaMessage message) {
        Objects.requireNonNull(message, "message is null");
        submit(() -> node.receive(message, observeClocks()));
    }

    /**
     * Proposes a command.
     *
     * @param command the command, at most {@link ReplicaNode#MAXIMUM_COMMAND_BYTES} bytes
     * @return a stage that completes with the outcome
     */
    public CompletionStage<ProposalOutcome> propose(byte[] command) {
        Objects.requireNonNull(command, "command is null");
        return submitRequest(callback -> node.propose(command, observeClocks(), callback));
    }

    private CompletionStage<ProposalOutcome> submitRequest(
            Consumer<Consumer<ProposalOutcome>> request) {
        CompletableFuture<ProposalOutcome> future = new CompletableFuture<>();
        if (!submit(() -> request.accept(future::complete))) {
            future.complete(refusedOutcome());
        }
        return future;
    }

    private ProposalOutcome refusedOutcome() {
        return stopping
                ? new ProposalOutcome.NotLeader(Optional.empty())
                : new ProposalOutcome.Refused("too many requests are waiting");
    }

    /**
     * Confirms that the local state machine can be read linearizably.
     *
     * @return a stage that completes with {@link ReadOutcome.Confirmed} once the state includes all
     *     commands committed before this call
     */
    public CompletionStage<ReadOutcome> readConfirmed() {
        CompletableFuture<ReadOutcome> future = new CompletableFuture<>();
        if (!submit(() -> node.readConfirmed(observeClocks(), future::complete))) {
            future.complete(new ReadOutcome.NotLeader(Optional.empty()));
        }
        return future;
    }

    /**
     * Runs a function on the replica thread, where it may read the state machine. The state may be
     * stale; see {@link #readConfirmed}.
     *
     * @param function the function, which must not block
     * @param <T> type of the result
     * @return a stage that completes with the result, or exceptionally if the function throws or
     *     the replica is stopped
     */
    public <T> CompletionStage<T> call(Supplier<T> function) {
        CompletableFuture<T> future = new CompletableFuture<>();
        if (!submit(() -> complete(future, function))) {
            future.completeExceptionally(new IllegalStateException(STOPPED_MESSAGE));
        }
        return future;
    }

    /**
     * Runs a function on the replica thread, where it may read the state machine, once the state is
     * confirmed as by {@link #readConfirmed}.
     *
     * @param function the function, which must not block
     * @param <T> type of the result
     * @return a stage that completes with the result, or empty if this replica is not the leader,
     *     or exceptionally if the function throws
     */
    public <T> CompletionStage<Optional<T>> callConfirmed(Supplier<T> function) {
        CompletableFuture<Optional<T>> future = new CompletableFuture<>();
        Consumer<ReadOutcome> callback =
                outcome ->
                        complete(
                                future,
                                () ->
                                        outcome instanceof ReadOutcome.Confirmed
                                                ? Optional.of(function.get())
                                                : Optional.empty());
        if (!submit(() -> node.readConfirmed(observeClocks(), callback))) {
            future.complete(Optional.empty());
        }
        return future;
    }

    private static <T> void complete(CompletableFuture<T> future, Supplier<T> function) {
        try {
            future.complete(function.get());
        } catch (RuntimeException exception) {
            future.completeExceptionally(exception);
        }
    }

    /**
     * Returns whether this replica is the leader and ready to serve. The result may already be
     * stale; only a committed proposal or a confirmed read proves leadership.
     *
     * @return true if this replica is the leader as far as it knows
     */
    public boolean isLeader() {
        return leader;
    }

    /**
     * Adds a listener for leadership changes. A listener added before the start receives all
     * changes.
     *
     * @param listener the listener
     */
    public void addLeaderListener(LeaderListener listener) {
        listeners.add(Objects.requireNonNull(listener, "listener is null"));
    }

    /**
     * Returns the status of the replica after its last step.
     *
     * @return the status
     */
    public ReplicaStatus status() {
        return status;
    }

    /**
     * Returns how often the replica has failed or could not be opened again since its start.
     *
     * @return the number of failures
     */
    public long failureCount() {
        return failureCount;
    }

    /**
     * Transfers leadership to the voter with the most complete log.
     *
     * @return a stage that completes with true once this replica is no longer the leader, or with
     *     false if that does not happen within the maximum election timeout
     */
    public CompletionStage<Boolean> transferLeadership() {
        CompletableFuture<Boolean> future = new CompletableFuture<>();
        if (!submit(() -> startTransfer(future))) {
            future.complete(false);
        }
        return future;
    }

    private void startTransfer(CompletableFuture<Boolean> future) {
        long nowMillis = observeClocks();
        ReplicaTiming timing = settings.timing();
        if (node.transferLeadership(nowMillis)) {
            long timeoutMillis = timing.electionTimeoutMillis() + timing.electionJitterMillis();
            pendingTransfers.add(new PendingTransfer(future, nowMillis + timeoutMillis));
        } else {
            future.complete(false);
        }
    }

    private void completeTransfers(boolean stopped) {
        if (pendingTransfers.isEmpty()) {
            return;
        }
        boolean transferred = !stopped && status.role() != ReplicaRole.LEADER;
        long nowMillis = nowMillis();
        pendingTransfers.removeIf(
                each -> {
                    boolean ended = transferred || stopped || nowMillis >= each.deadlineMillis();
                    if (ended) {
                        each.future().complete(transferred);
                    }
                    return ended;
                });
    }

    /**
     * Adds a learner.
     *
     * @param replicaId identifier that was never used in this group
     * @param address address at which the learner receives messages
     * @return a stage that completes with the outcome
     */
    public CompletionStage<ProposalOutcome> addLearner(String replicaId, String address) {
        ReplicaMember member = ReplicaMember.learner(replicaId, address);
        return submitRequest(callback -> node.addLearner(member, observeClocks(), callback));
    }

    /**
     * Promotes a learner to a voter. Refused until the learner has caught up.
     *
     * @param replicaId identifier of the learner
     * @return a stage that completes with the outcome
     */
    public CompletionStage<ProposalOutcome> promote(String replicaId) {
        Objects.requireNonNull(replicaId, "replicaId is null");
        return submitRequest(callback -> node.promote(replicaId, observeClocks(), callback));
    }

    /**
     * Demotes a voter to a learner, which may be promoted again.
     *
     * @param replicaId identifier of the voter
     * @return a stage that completes with the outcome
     */
    public CompletionStage<ProposalOutcome> demote(String replicaId) {
        Objects.requireNonNull(replicaId, "replicaId is null");
        return submitRequest(callback -> node.demote(replicaId, observeClocks(), callback));
    }

    /**
     * Removes a replica from the group. Its identifier cannot be used again.
     *
     * @param replicaId identifier of the replica
     * @return a stage that completes with the outcome
     */
    public CompletionStage<ProposalOutcome> remove(String replicaId) {
        Objects.requireNonNull(replicaId, "replicaId is null");
        return submitRequest(callback -> node.remove(replicaId, observeClocks(), callback));
    }
}
