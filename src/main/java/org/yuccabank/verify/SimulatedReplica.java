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
import org.yuccabank.result.Result;

/** A replica with a fake disk and clock that crashes, pauses and starts again. Not thread-safe. */
final class SimulatedReplica {

    private static final long TICK_MILLIS = 10;
    private static final long MAXIMUM_SYNC_MICROS = 3_000;
    private static final long QUICK_SYNC_MICROS = 300;
    private static final long SLOW_SYNC_MICROS = 300_000;
    private static final double SLOW_SYNC_CHANCE = 0.002;
    private static final long MAXIMUM_DOWN_MILLIS = 1_500;
    private static final long RETRY_MILLIS = 200;

    private final SimulatedGroup group;
    private final Simulation simulation;
    private final ReplicaSettings settings;
    private final FakeClock clock;
    private final List<Runnable> backlog = new ArrayList<>();
    private FakeDisk disk;
    private CheckedStateMachine machine;
    private ReplicaNode node;
    private int incarnation;
    private boolean paused;
    private boolean syncing;
    private boolean retired;

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
                        group.plan().batchBytes());
        disk = new FakeDisk(simulation);
    }

    String id() {
        return settings.replicaId();
    }

    FakeDisk disk() {
        return disk;
    }

    boolean isUp() {
        return node != null;
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

    CheckedStateMachine machine() {
        return machine;
    }

    long nowMillis() {
        return clock.nowMillis();
    }

    /** Starts the process; a disk that still fails is tried again later. */
    void start() {
        if (node != null || retired) {
            return;
        }
        incarnation++;
        machine = new CheckedStateMachine(group.options(), new Observer());
        ReplicaNode.Environment environment =
                new ReplicaNode.Environment(
                        machine,
                        (address, message) -> send(message),
                        disk,
                        this::onEvent,
                        Simulation.generator(simulation.random().nextLong()));
        Result<ReplicaNode> opened =
                group.options().nodes().open(settings, environment, nowMillis());
        if (opened.isSuccess()) {
            node = opened.get();
            syncing = false;
            paused = false;
            backlog.clear();
            scheduleTick(incarnation);
        } else {
            reportCorruption(opened.findings().toString());
            simulation.afterMillis(RETRY_MILLIS, this::start);
        }
    }

    private void reportCorruption(String problem) {
        if (problem.contains("corrupt")) {
            group.checker().report(Violation.Property.RESTARTS, id() + ": " + problem);
        }
    }

    private void onEvent(Event event, Object... details) {
        group.noteEvent(event);
    }

    private void send(ReplicaMessage message) {
        group.network()
                .send(
                        id(),
                        message.getTo(),
                        () ->
                                group.replica(message.getTo())
                                        .ifPresent(each -> each.receive(message)));
    }

    private void receive(ReplicaMessage message) {
        run(present -> present.receive(message, nowMillis()));
    }

    private void scheduleTick(int ticked) {
        simulation.after(
                clock.toMicros(TICK_MILLIS),
                () -> {
                    if (incarnation == ticked && node != null) {
                        if (!paused) {
                            run(present -> present.tick(nowMillis()));
                        }
                        scheduleTick(ticked);
                    }
                });
    }

    /** Lets the process handle an input; a paused process handles it later, a crashed one never. */
    void run(Consumer<ReplicaNode> input) {
        if (node == null) {
            return;
        }
        if (paused) {
            backlog.add(() -> run(input));
            return;
        }
        ReplicaNode present = node;
        input.accept(present);
        afterInput(present);
    }

    private void afterInput(ReplicaNode present) {
        boolean unsynced = present.step(nowMillis());
        if (!present.isRunning()) {
            crash();
            return;
        }
        if (unsynced && !syncing) {
            scheduleSync(incarnation);
        }
        group.checker().observe(id(), present);
    }

    private void scheduleSync(int synced) {
        syncing = true;
        long limit = group.plan().quick() ? QUICK_SYNC_MICROS : MAXIMUM_SYNC_MICROS;
        long delay = simulation.random().nextLong(limit) + 1;
        if (group.isFaulty() && simulation.chance(SLOW_SYNC_CHANCE)) {
            simulation.count(Fault.DISK_SLOW);
            delay += simulation.random().nextLong(SLOW_SYNC_MICROS);
        }
        simulation.after(delay, () -> completeSync(synced));
    }

    private void completeSync(int synced) {
        if (incarnation == synced) {
            run(
                    present -> {
                        syncing = false;
                        present.sync(nowMillis());
                    });
        }
    }

    /** Stops the process, loses unsynced writes and starts it again later. */
    void crash() {
        if (node == null) {
            return;
        }
        simulation.count(Fault.CRASH);
        node = null;
        incarnation++;
        disk.crash();
        simulation.afterMillis(simulation.random().nextLong(MAXIMUM_DOWN_MILLIS) + 1, this::start);
    }

    /** Loses the disk. The process never returns under this identifier, unless told to. */
    void loseDisk(boolean newIdentifier) {
        node = null;
        incarnation++;
        retired = newIdentifier;
        disk = new FakeDisk(simulation);
        if (!newIdentifier) {
            simulation.afterMillis(simulation.random().nextLong(MAXIMUM_DOWN_MILLIS), this::start);
        }
    }

    /** Ends the process for good, after its member was removed. */
    void retire() {
        node = null;
        incarnation++;
        retired = true;
    }

    /** Stops the process for a time, after which it handles everything that has arrived. */
    void pause(long millis) {
        if (node == null || paused) {
            return;
        }
        paused = true;
        int pausedIncarnation = incarnation;
        simulation.afterMillis(
                millis,
                () -> {
                    if (incarnation == pausedIncarnation) {
                        resume();
                    }
                });
    }

    private void resume() {
        paused = false;
        List<Runnable> waiting = new ArrayList<>(backlog);
        backlog.clear();
        waiting.forEach(Runnable::run);
    }

    /** Passes on what the state machine does, and counts snapshots of the leader. */
    private final class Observer implements CheckedStateMachine.Observer {

        @Override
        public void applied(long index, byte[] command, long digest) {
            group.checker().applied(index, command, digest);
        }

        @Override
        public void restored(long index, long digest) {
            if (node != null) {
                simulation.count(Fault.SNAPSHOT_INSTALLED);
            }
            group.checker().restored(index, digest);
        }
    }
}
