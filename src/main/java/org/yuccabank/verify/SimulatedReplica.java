package org.yuccabank.verify;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.yuccabank.event.Event;
import org.yuccabank.protocol.generated.ReplicaMessage;
import org.yuccabank.replication.ReplicaMember;
import org.yuccabank.replication.ReplicaNode;
import org.yuccabank.replication.ReplicaSettings;
import org.yuccabank.replication.ReplicaTransport;
import org.yuccabank.result.Result;

/** Replica with a fake disk and clock that can crash, pause and restart. Not thread-safe. */
final class SimulatedReplica {

    private static final long TICK_INTERVAL_MILLIS = 10;
    private static final long MAXIMUM_FAST_SYNC_MICROS = 300;
    private static final long MAXIMUM_SLOW_SYNC_MICROS = 300_000;
    private static final double SLOW_SYNC_PROBABILITY = 0.002;
    private static final long MAXIMUM_DOWNTIME_MILLIS = 1_500;
    private static final long RESTART_RETRY_MILLIS = 200;

    private final SimulatedGroup group;
    private final Simulation simulation;
    private final ReplicaSettings settings;
    private final FakeClock clock;
    private final List<Runnable> pausedInputs = new ArrayList<>();
    private final List<Consumer<ReplicaNode>> inputsDuringSync = new ArrayList<>();
    private SimulatedDisk disk;
    private CheckedStateMachine stateMachine;
    private ReplicaNode node;
    private int incarnation;
    private boolean paused;
    private boolean syncScheduled;
    private boolean retired;
    private boolean listening;
    private int diskFailures;

    SimulatedReplica(
            SimulatedGroup group, String id, List<ReplicaMember> members, FakeClock clock) {
        this.group = group;
        this.clock = clock;
        simulation = group.simulation();
        settings =
                new ReplicaSettings(
                        "group",
                        id,
                        Path.of("memory"),
                        members,
                        group.plan().timing(),
                        group.plan().snapshotEntries(),
                        group.plan().maximumBatchBytes());
        disk = group.hostModel().diskFactory().apply(simulation);
    }

    String id() {
        return settings.replicaId();
    }

    /** Returns the number in the identifier, which is lower for replicas that started earlier. */
    int number() {
        return Integer.parseInt(id().substring(1));
    }

    SimulatedDisk disk() {
        return disk;
    }

    boolean isRunning() {
        return node != null;
    }

    /** Returns whether the host accepts connections; a stopped replica in a live process does. */
    boolean isListening() {
        return listening;
    }

    boolean isPaused() {
        return paused;
    }

    boolean isRetired() {
        return retired;
    }

    Optional<ReplicaNode> node() {
        return Optional.ofNullable(node);
    }

    CheckedStateMachine stateMachine() {
        return stateMachine;
    }

    long nowMillis() {
        return clock.nowMillis();
    }

    /** Starts the process and retries later if its durable state cannot be opened. */
    void start() {
        if (node != null || retired) {
            return;
        }
        incarnation++;
        stateMachine = new CheckedStateMachine(group.options(), new Observer());
        ReplicaNode.Environment environment =
                new ReplicaNode.Environment(
                        stateMachine,
                        new SimulatedTransport(),
                        disk,
                        this::onEvent,
                        Simulation.newRandomGenerator(simulation.random().nextLong()));
        Result<ReplicaNode> opened =
                group.options().nodeFactory().open(settings, environment, nowMillis());
        if (opened.isSuccess()) {
            node = opened.get();
            listening = true;
            syncScheduled = false;
            paused = false;
            pausedInputs.clear();
            inputsDuringSync.clear();
            scheduleTick(incarnation);
        } else {
            reportCorruption(opened.findings().toString());
            simulation.scheduleMillis(RESTART_RETRY_MILLIS, this::start);
        }
    }

    private void reportCorruption(String problem) {
        if (problem.contains("corrupt")) {
            group.checker().report(Violation.Property.RESTARTS, id() + ": " + problem);
        }
    }

    private void onEvent(Event event, Object... details) {
        group.onEvent(event);
    }

    /** Transport that knows whether a connection to another replica could be opened now. */
    private final class SimulatedTransport implements ReplicaTransport {

        @Override
        public void send(String address, ReplicaMessage message) {
            if (address.isEmpty()) {
                return;
            }
            group.network()
                    .send(
                            id(),
                            message.getTo(),
                            () ->
                                    group.replica(message.getTo())
                                            .ifPresent(each -> each.receive(message)));
        }

        @Override
        public boolean isUnreachable(String address) {
            return !group.isReachable(id(), address);
        }
    }

    private void receive(ReplicaMessage message) {
        handleInput(currentNode -> currentNode.receive(message, nowMillis()));
    }

    private void scheduleTick(int expectedIncarnation) {
        simulation.schedule(
                clock.toSimulatedMicros(TICK_INTERVAL_MILLIS),
                () -> {
                    if (incarnation == expectedIncarnation && node != null) {
                        if (!paused) {
                            handleInput(currentNode -> currentNode.tick(nowMillis()));
                        }
                        scheduleTick(expectedIncarnation);
                    }
                });
    }

    /** Handles an input; a paused process handles it after the pause, a crashed one drops it. */
    void handleInput(Consumer<ReplicaNode> input) {
        if (node == null) {
            return;
        }
        if (paused) {
            pausedInputs.add(() -> handleInput(input));
            return;
        }
        if (syncScheduled && group.hostModel().blockingSync()) {
            inputsDuringSync.add(input);
            return;
        }
        handle(List.of(input));
    }

    /** Handles inputs as one batch, which shares the next sync. */
    private void handle(List<Consumer<ReplicaNode>> inputs) {
        ReplicaNode currentNode = node;
        currentNode.observeClocks(nowMillis(), clock.wallMillis());
        inputs.forEach(input -> input.accept(currentNode));
        afterInput(currentNode);
    }

    private void afterInput(ReplicaNode currentNode) {
        boolean unsynced = currentNode.step(nowMillis());
        if (!currentNode.isRunning()) {
            diskFailures++;
            if (diskFailures % 2 == 0) {
                crash();
            } else {
                restart();
            }
            return;
        }
        if (unsynced && !syncScheduled) {
            scheduleSync(incarnation);
        }
        group.checker().checkLeader(id(), currentNode);
    }

    private void scheduleSync(int expectedIncarnation) {
        syncScheduled = true;
        long maximumDelay =
                group.plan().fastIo()
                        ? MAXIMUM_FAST_SYNC_MICROS
                        : group.hostModel().maximumSyncMicros();
        long delay = simulation.random().nextLong(maximumDelay) + 1;
        if (group.areFaultsEnabled() && simulation.nextBoolean(SLOW_SYNC_PROBABILITY)) {
            simulation.countFault(Fault.DISK_SLOW);
            delay += simulation.random().nextLong(MAXIMUM_SLOW_SYNC_MICROS);
        }
        simulation.schedule(delay, () -> completeSync(expectedIncarnation));
    }

    private void completeSync(int expectedIncarnation) {
        if (incarnation != expectedIncarnation) {
            return;
        }
        if (paused) {
            pausedInputs.add(() -> completeSync(expectedIncarnation));
            return;
        }
        syncScheduled = false;
        List<Consumer<ReplicaNode>> inputs = new ArrayList<>(inputsDuringSync);
        inputsDuringSync.clear();
        inputs.add(0, currentNode -> currentNode.sync(nowMillis()));
        handle(inputs);
    }

    /** Crashes the process, which loses unsynced writes, and schedules a restart. */
    void crash() {
        if (node != null) {
            losePower();
        }
    }

    /** Loses power, also while the process is down, and schedules a restart if it ran. */
    void losePower() {
        simulation.countFault(Fault.CRASH);
        disk.crash();
        listening = false;
        if (node != null) {
            restart();
        }
    }

    /** Restarts the process. Its host stays up and keeps unsynced writes. */
    private void restart() {
        node = null;
        incarnation++;
        simulation.scheduleMillis(
                simulation.random().nextLong(MAXIMUM_DOWNTIME_MILLIS) + 1, this::start);
    }

    /**
     * Crashes the process and loses its disk. The replica restarts only if {@code
     * newIdAfterDiskLoss} is false; otherwise it is retired, as its identifier must not be reused.
     */
    void loseDisk(boolean newIdAfterDiskLoss) {
        node = null;
        listening = false;
        incarnation++;
        retired = newIdAfterDiskLoss;
        disk = group.hostModel().diskFactory().apply(simulation);
        if (!newIdAfterDiskLoss) {
            simulation.scheduleMillis(
                    simulation.random().nextLong(MAXIMUM_DOWNTIME_MILLIS), this::start);
        }
    }

    /** Stops the process permanently after its member was removed. */
    void retire() {
        node = null;
        listening = false;
        incarnation++;
        retired = true;
    }

    /** Pauses the process; inputs that arrive meanwhile are handled when it resumes. */
    void pause(long millis) {
        pause(millis, 0);
    }

    /** Pauses the process like {@link #pause} while its steady clock stands still. */
    void suspend(long millis) {
        pause(millis, millis);
    }

    void stepWallClock(long millis) {
        clock.stepWall(millis);
    }

    private void pause(long millis, long suspendedMillis) {
        if (node == null || paused) {
            return;
        }
        paused = true;
        int pausedIncarnation = incarnation;
        simulation.scheduleMillis(
                millis,
                () -> {
                    if (incarnation == pausedIncarnation) {
                        clock.endSuspension(suspendedMillis);
                        resume();
                    }
                });
    }

    private void resume() {
        paused = false;
        List<Runnable> inputs = new ArrayList<>(pausedInputs);
        pausedInputs.clear();
        inputs.forEach(Runnable::run);
    }

    /** Forwards state machine events to the checker and counts snapshots from the leader. */
    private final class Observer implements CheckedStateMachine.Observer {

        @Override
        public void onApplied(long index, byte[] command, long digest) {
            group.checker().onApplied(index, command, digest);
        }

        @Override
        public void onRestored(long index, long digest) {
            if (node != null) {
                simulation.countFault(Fault.SNAPSHOT_INSTALLED);
            }
            group.checker().onRestored(index, digest);
        }
    }
}
