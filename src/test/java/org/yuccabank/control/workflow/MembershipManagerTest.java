package org.yuccabank.control.workflow;

import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import org.yuccabank.protocol.generated.JoinRequest;
import org.yuccabank.protocol.generated.ReplicaMessage;
import org.yuccabank.replication.ProposalOutcome;
import org.yuccabank.replication.ReplicaMember;
import org.yuccabank.replication.ReplicaService;
import org.yuccabank.replication.ReplicaSettings;
import org.yuccabank.replication.ReplicaTiming;
import org.yuccabank.replication.StateMachine;

/** Tests the replacement of members in a group of replicas that run in one process. */
public final class MembershipManagerTest {

    private static final int DESIRED_VOTERS = 3;

    /**
     * Time after which the successor of a lost host counts, so that the group has to tolerate
     * another loss; the bound of the users' platform.
     */
    private static final long CATCH_UP_MILLIS = 4_000;

    /** A new leader is elected within a second; the rest allows for a busy machine. */
    private static final long ELECTION_LIMIT_MILLIS = 10_000;

    private static final long STEP_MILLIS = 50;
    private static final int SNAPSHOT_ENTRIES = 1_000;

    private final Map<String, Replica> replicas = new ConcurrentHashMap<>();
    private Path directory;

    private record Replica(String id, String address, ReplicaService service, Manager manager) {

        private ReplicaMember member() {
            return service.status().members().stream()
                    .filter(each -> each.replicaId().equals(id))
                    .findFirst()
                    .orElse(ReplicaMember.learner(id, address));
        }
    }

    /** Runs a membership manager on the thread of its replica. */
    private record Manager(ReplicaService service, MembershipManager manager) {

        private void run(Runnable action) {
            service.call(
                            () -> {
                                action.run();
                                return true;
                            })
                    .toCompletableFuture()
                    .exceptionally(error -> false)
                    .join();
        }
    }

    private static final class EmptyStateMachine implements StateMachine {

        @Override
        public byte[] apply(long index, byte[] command) {
            return command;
        }

        @Override
        public byte[] snapshot() {
            return new byte[0];
        }

        @Override
        public void restore(byte[] snapshot) {}
    }

    /** Starts a group of three replicas in an empty directory. */
    @BeforeMethod
    public void start() throws Exception {
        directory = Files.createTempDirectory("membership");
        for (String id : List.of("a", "b", "c")) {
            start(id, id, voters());
        }
        propose("first");
    }

    /** Stops all replicas. */
    @AfterMethod
    public void stop() {
        replicas.values().forEach(each -> each.service().stop());
        replicas.clear();
    }

    private static List<ReplicaMember> voters() {
        return List.of(
                ReplicaMember.voter("a", "a"),
                ReplicaMember.voter("b", "b"),
                ReplicaMember.voter("c", "c"));
    }

    private void start(String id, String address, List<ReplicaMember> members) throws IOException {
        ReplicaSettings settings =
                new ReplicaSettings(
                        "test",
                        id,
                        directory.resolve(id),
                        members,
                        ReplicaTiming.defaults(),
                        SNAPSHOT_ENTRIES);
        ReplicaService service =
                ReplicaService.of(settings, new EmptyStateMachine(), this::deliver);
        assertTrue(service.start().isSuccess());
        Manager manager = new Manager(service, new MembershipManager(service, DESIRED_VOTERS));
        replicas.put(address, new Replica(id, address, service, manager));
    }

    private void deliver(String address, ReplicaMessage message) {
        // As in a control process, a message without an address is lost.
        Optional.ofNullable(replicas.get(address))
                .ifPresent(replica -> replica.service().receive(message));
    }

    private Optional<Replica> leader() {
        return replicas.values().stream().filter(each -> each.service().isLeader()).findFirst();
    }

    /** Performs what the timers of the control processes do. */
    private void runTimers() {
        leader().ifPresent(leader -> leader.manager().run(leader.manager().manager()::tick));
        for (Replica replica : replicas.values()) {
            boolean formerMember =
                    replica.service().status().members().stream()
                            .anyMatch(
                                    each ->
                                            each.address().equals(replica.address())
                                                    && !each.replicaId().equals(replica.id()));
            if (!replica.member().voter() || formerMember) {
                JoinRequest join =
                        JoinRequest.newBuilder()
                                .setReplicaId(replica.id())
                                .setAddress(replica.address())
                                .build();
                leader().map(Replica::manager)
                        .ifPresent(leader -> leader.run(() -> leader.manager().handleJoin(join)));
            }
        }
    }

    private void runTimers(long millis) throws InterruptedException {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
        while (System.nanoTime() < end) {
            runTimers();
            Thread.sleep(STEP_MILLIS);
        }
    }

    private void await(String awaited, BooleanSupplier condition) throws InterruptedException {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(ELECTION_LIMIT_MILLIS);
        while (!condition.getAsBoolean()) {
            assertTrue(System.nanoTime() < end, "timed out waiting for " + awaited);
            runTimers();
            Thread.sleep(STEP_MILLIS);
        }
    }

    private void propose(String command) throws InterruptedException {
        await("the commit of a command", () -> isCommitted(command));
    }

    private boolean isCommitted(String command) {
        byte[] bytes = command.getBytes(StandardCharsets.UTF_8);
        return leader().map(each -> each.service().propose(bytes).toCompletableFuture().join())
                .filter(ProposalOutcome.Committed.class::isInstance)
                .isPresent();
    }

    /** Stops a replica that does not lead and forgets its disk. */
    private String loseFollower() {
        String address =
                replicas.values().stream()
                        .filter(each -> !each.service().isLeader() && each.member().voter())
                        .map(Replica::address)
                        .findFirst()
                        .orElseThrow();
        replicas.remove(address).service().stop();
        return address;
    }

    private long voterCount() {
        return leader().map(each -> each.service().status().members()).orElse(List.of()).stream()
                .filter(ReplicaMember::voter)
                .count();
    }

    /** Guards against a group that cannot elect a leader when hosts are lost one after another. */
    @Test
    public void shouldElectLeaderAfterSecondLossOnceFirstIsReplaced() throws Exception {
        loseFollower();
        start("d", "d", List.of());
        runTimers(CATCH_UP_MILLIS);
        assertTrue(replicas.get("d").member().voter(), "the successor has no vote");
        String address = loseFollower();
        start("e", address, List.of());
        propose("after the second loss");
        await("the vote of e", () -> replicas.get(address).member().voter());
        await("three voters", () -> voterCount() == DESIRED_VOTERS);
    }

    /** Guards against a lost disk after which the group depends on a replica that is gone. */
    @Test
    public void shouldSurviveLossOfEachDiskInTurn() throws Exception {
        for (String id : List.of("d", "e", "f")) {
            String address = loseFollower();
            start(id, address, List.of());
            runTimers(CATCH_UP_MILLIS);
            assertTrue(replicas.get(address).member().voter(), id + " has no vote");
            propose("after " + id);
        }
        await("three members", () -> memberCount() == DESIRED_VOTERS);
    }

    private int memberCount() {
        return leader().map(each -> each.service().status().members().size()).orElse(0);
    }

    /** Guards against a replaced host that never votes again, and against a fourth voter. */
    @Test
    public void shouldGiveVoteBackToReturningHost() throws Exception {
        String first = loseFollower();
        start("d", "d", List.of());
        await("the vote of d", () -> replicas.get("d").member().voter());
        await("three voters", () -> voterCount() == DESIRED_VOTERS);
        loseFollower();
        start(first, first, voters());
        await("the vote of " + first, () -> replicas.get(first).member().voter());
        propose("after the return");
        await("three voters", () -> voterCount() == DESIRED_VOTERS);
    }

    /** Guards against a new replica that only a leader of the first term can add. */
    @Test
    public void shouldReplaceHostLostAfterLeaderChange() throws Exception {
        String address = leader().orElseThrow().address();
        replicas.remove(address).service().stop();
        propose("after the leader change");
        start(address, address, voters());
        loseFollower();
        start("d", "d", List.of());
        await("the vote of d", () -> replicas.get("d").member().voter());
        propose("after the replacement");
    }

    /** Guards against a voter that cannot answer a leader which joined while it was down. */
    @Test
    public void shouldCatchUpVoterThatMissedAllChanges() throws Exception {
        String absent = loseFollower();
        replaceBy("d");
        replicas.remove(leader().orElseThrow().address()).service().stop();
        replaceBy("e");
        await("a leader that joined later", this::hasLeaderThatJoinedLater);
        start(absent, absent, voters());
        Replica returned = replicas.get(absent);
        await(
                "catch-up",
                () ->
                        returned.service().status().lastIndex()
                                >= leader().orElseThrow().service().status().lastIndex());
    }

    private void replaceBy(String id) throws Exception {
        start(id, id, List.of());
        await("the vote of " + id, () -> replicas.get(id).member().voter());
        await("three voters", () -> voterCount() == DESIRED_VOTERS);
        propose("after " + id);
    }

    private boolean hasLeaderThatJoinedLater() {
        Optional<Replica> leader = leader();
        boolean joinedLater =
                leader.map(Replica::id).filter(Set.of("d", "e")::contains).isPresent();
        if (!joinedLater) {
            leader.ifPresent(
                    each -> each.service().transferLeadership().toCompletableFuture().join());
        }
        return joinedLater;
    }
}
