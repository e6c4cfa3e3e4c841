package org.yuccabank.replication;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import org.yuccabank.protocol.generated.ReplicaMessage;

/** Tests groups of replicas that run in one process with threads and real files. */
public final class ReplicaServiceTest {

    private static final long TIMEOUT_MILLIS = 20_000;
    private static final int SNAPSHOT_ENTRIES = 40;

    private final Map<String, ReplicaService> services = new ConcurrentHashMap<>();
    private final Map<String, RecordingStateMachine> machines = new HashMap<>();
    private final Map<String, FailingDirectory.Disk> disks = new HashMap<>();
    private Path directory;

    /** Starts a group of three replicas in an empty directory. */
    @BeforeMethod
    public void start() throws IOException {
        directory = Files.createTempDirectory("replica");
        for (String id : List.of("a", "b", "c")) {
            start(id, voters());
        }
    }

    /** Stops all replicas. */
    @AfterMethod
    public void stop() {
        services.values().forEach(ReplicaService::stop);
        services.clear();
        machines.clear();
    }

    private static List<ReplicaMember> voters() {
        return List.of(
                ReplicaMember.voter("a", "a"),
                ReplicaMember.voter("b", "b"),
                ReplicaMember.voter("c", "c"));
    }

    private void start(String id, List<ReplicaMember> members) {
        RecordingStateMachine machine = new RecordingStateMachine();
        ReplicaSettings settings =
                new ReplicaSettings(
                        "test",
                        id,
                        directory.resolve(id),
                        members,
                        ReplicaTiming.defaults(),
                        SNAPSHOT_ENTRIES);
        FailingDirectory.Disk disk = new FailingDirectory.Disk();
        disks.put(id, disk);
        ReplicaService service =
                ReplicaService.of(
                        settings,
                        machine,
                        this::deliver,
                        path -> new FailingDirectory(FileDirectory.open(path), disk));
        machines.put(id, machine);
        assertTrue(service.start().isSuccess());
        services.put(id, service);
    }

    private void deliver(String address, ReplicaMessage message) {
        // As in a control process, a message without an address is lost.
        ReplicaService service = services.get(address);
        if (service != null) {
            service.receive(message);
        }
    }

    private void stop(String id) {
        services.remove(id).stop();
    }

    private static void await(String awaited, BooleanSupplier condition) throws Exception {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MILLIS);
        while (!condition.getAsBoolean()) {
            assertTrue(System.nanoTime() < end, "timed out waiting for " + awaited);
            Thread.sleep(5);
        }
    }

    private String leader() throws Exception {
        await("a leader", () -> services.values().stream().anyMatch(ReplicaService::isLeader));
        return services.entrySet().stream()
                .filter(entry -> entry.getValue().isLeader())
                .findFirst()
                .orElseThrow()
                .getKey();
    }

    /**
     * Guards against confirmed reads that run on the thread of their caller, where they see the
     * state machine while a command is applied.
     */
    @Test
    public void shouldReadOnReplicaThread() throws Exception {
        ReplicaService leader = services.get(leader());
        for (int number = 0; number < 2_000; number++) {
            Optional<String> thread =
                    leader.callConfirmed(() -> Thread.currentThread().getName())
                            .toCompletableFuture()
                            .get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
            assertTrue(thread.orElse("replica-none").startsWith("replica-"), thread.toString());
        }
    }

    private List<String> propose(String prefix, int count) throws Exception {
        List<String> accepted = new ArrayList<>();
        ReplicaService leader = services.get(leader());
        for (int number = 0; number < count; number++) {
            String command = prefix + number;
            ProposalOutcome outcome =
                    leader.propose(command.getBytes(StandardCharsets.UTF_8))
                            .toCompletableFuture()
                            .get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
            assertTrue(outcome instanceof ProposalOutcome.Committed, outcome.toString());
            accepted.add(command);
        }
        return accepted;
    }

    /** Guards against losing committed commands when the leader stops or all replicas restart. */
    @Test
    public void shouldKeepCommandsAcrossLeaderChangeAndRestart() throws Exception {
        List<String> expected = new ArrayList<>(propose("first-", 20));
        String stopped = leader();
        stop(stopped);
        expected.addAll(propose("second-", 100));
        start(stopped, voters());
        await("catch-up", () -> machines.get(stopped).commands().equals(expected));
        List.copyOf(services.keySet()).forEach(this::stop);
        for (String id : List.of("a", "b", "c")) {
            start(id, voters());
        }
        expected.addAll(propose("third-", 1));
        for (RecordingStateMachine machine : machines.values()) {
            await("equal state", () -> machine.commands().equals(expected));
        }
    }

    /** Guards against a replacement that never receives the snapshot or votes before it does. */
    @Test
    public void shouldReplaceMemberByLearner() throws Exception {
        List<String> expected = new ArrayList<>(propose("first-", 90));
        String lost = List.of("a", "b", "c").stream().filter(id -> !isLeader(id)).findFirst().get();
        stop(lost);
        start("d", List.of());
        ReplicaService leader = services.get(leader());
        assertCommitted(leader.addLearner("d", "d").toCompletableFuture().get());
        await("catch-up", () -> machines.get("d").commands().equals(expected));
        assertCommitted(leader.promote("d").toCompletableFuture().get());
        assertCommitted(leader.remove(lost).toCompletableFuture().get());
        ProposalOutcome outcome = leader.addLearner(lost, lost).toCompletableFuture().get();
        assertTrue(outcome instanceof ProposalOutcome.Refused, outcome.toString());
        assertEquals(leader.status().members().size(), 3);
    }

    /**
     * Guards against failed hosts that keep their votes, so that the next failure costs the
     * majority, and against a recovered host that cannot become a voter again.
     */
    @Test
    public void shouldDemoteAndPromoteVoter() throws Exception {
        propose("first-", 3);
        String lost = List.of("a", "b", "c").stream().filter(id -> !isLeader(id)).findFirst().get();
        stop(lost);
        ReplicaService leader = services.get(leader());
        assertCommitted(leader.demote(lost).toCompletableFuture().get());
        String other =
                List.of("a", "b", "c").stream()
                        .filter(id -> !id.equals(lost) && !isLeader(id))
                        .findFirst()
                        .get();
        assertCommitted(leader.demote(other).toCompletableFuture().get());
        stop(other);
        List<String> alone = propose("alone-", 2);
        start(lost, voters());
        await("catch-up", () -> machines.get(lost).commands().containsAll(alone));
        assertCommitted(leader.promote(lost).toCompletableFuture().get());
    }

    private boolean isLeader(String id) {
        return services.get(id).isLeader();
    }

    private static void assertCommitted(ProposalOutcome outcome) {
        assertTrue(outcome instanceof ProposalOutcome.Committed, outcome.toString());
    }

    /** Guards against a transfer that is acknowledged although no other replica took over. */
    @Test
    public void shouldTransferLeadership() throws Exception {
        String before = leader();
        assertTrue(
                services.get(before)
                        .transferLeadership()
                        .toCompletableFuture()
                        .get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS));
        await(
                "another leader",
                () -> services.values().stream().anyMatch(ReplicaService::isLeader));
        assertTrue(!leader().equals(before));
    }

    /** Guards against confirmed reads on a replica that is not the leader. */
    @Test
    public void shouldConfirmReadsOnLeaderOnly() throws Exception {
        String leader = leader();
        for (Map.Entry<String, ReplicaService> entry : services.entrySet()) {
            ReadOutcome outcome =
                    entry.getValue()
                            .readConfirmed()
                            .toCompletableFuture()
                            .get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
            assertEquals(outcome instanceof ReadOutcome.Confirmed, entry.getKey().equals(leader));
        }
    }

    /**
     * Guards against replicas that stay stopped after their disks were full for a moment, one after
     * the other, so that no majority is left.
     */
    @Test
    public void shouldServeAfterDisksWereFullInTurn() throws Exception {
        List<String> expected = new ArrayList<>(propose("first-", 5));
        for (int round = 0; round < 2; round++) {
            String full = leader();
            disks.get(full).setFull(true);
            var unused = services.get(full).propose(new byte[] {1});
            await("a stop", () -> services.get(full).status().stopReason().isPresent());
            expected.addAll(propose("round-" + round + "-", 5));
            disks.get(full).setFull(false);
            await("a reopening", () -> services.get(full).status().stopReason().isEmpty());
            assertTrue(services.get(full).failureCount() > 0);
            await("catch-up", () -> machines.get(full).commands().containsAll(expected));
        }
        expected.addAll(propose("last-", 1));
        for (RecordingStateMachine machine : machines.values()) {
            await("equal state", () -> machine.commands().containsAll(expected));
        }
        assertEquals(machines.get("a").commands(), machines.get("b").commands());
        assertEquals(machines.get("b").commands(), machines.get("c").commands());
    }

    /** Guards against a log of few large entries that fills the memory before the next snapshot. */
    @Test
    public void shouldSaveSnapshotOfLargeEntries() throws Exception {
        int largeEntries = SNAPSHOT_ENTRIES - 10;
        byte[] large = new byte[ReplicaNode.MAXIMUM_COMMAND_BYTES];
        long committed = 0;
        while (committed < largeEntries) {
            // A busy machine may change the leader meanwhile, which leaves the outcome unknown.
            ProposalOutcome outcome =
                    services.get(leader())
                            .propose(large)
                            .toCompletableFuture()
                            .get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
            committed += outcome instanceof ProposalOutcome.Committed ? 1 : 0;
        }
        for (String id : List.of("a", "b", "c")) {
            Path log = directory.resolve(id).resolve(DiskStorage.LOG_FILE);
            await(
                    "a compaction of " + id,
                    () -> size(log) < ReplicaNode.MAXIMUM_LOG_BYTES + (4 << 20));
        }
    }

    private static long size(Path file) {
        try {
            return Files.size(file);
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        }
    }

    /** Guards against a replica that ends for good after an exception while its process lives. */
    @Test
    public void shouldReopenAfterException() throws Exception {
        propose("first-", 3);
        String failing = leader();
        machines.get(failing).failNextCommand();
        var unused = services.get(failing).propose("second".getBytes(StandardCharsets.UTF_8));
        await("a failure", () -> services.get(failing).failureCount() > 0);
        await("a reopening", () -> services.get(failing).status().stopReason().isEmpty());
        List<String> expected = propose("third-", 1);
        await("catch-up", () -> machines.get(failing).commands().containsAll(expected));
    }

    /** Guards against a replica that still reports to be running after its thread has ended. */
    @Test
    public void shouldStopWhenThreadEndsWithError() throws Exception {
        ReplicaService service = services.get("a");
        var unused =
                service.call(
                        () -> {
                            throw new AssertionError(
                                    "intentional error that ends the replica thread");
                        });
        long end = System.nanoTime() + TIMEOUT_MILLIS * 1_000_000;
        while (service.status().stopReason().isEmpty() && System.nanoTime() < end) {
            Thread.sleep(10);
        }
        assertTrue(service.status().stopReason().isPresent());
        assertTrue(
                service.propose(new byte[] {1}).toCompletableFuture().get(5, TimeUnit.SECONDS)
                        instanceof ProposalOutcome.NotLeader);
    }
}
