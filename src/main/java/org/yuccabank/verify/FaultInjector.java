package org.yuccabank.verify;

import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.yuccabank.replication.ReplicaNode;

/** Injects faults at random times according to the profile of a schedule. Not thread-safe. */
final class FaultInjector {

    private static final long STABILIZATION_MILLIS = 900;
    private static final long MAXIMUM_FAULT_INTERVAL_MILLIS = 400;
    private static final long MAXIMUM_PAUSE_MILLIS = 1_500;
    private static final long MAXIMUM_PARTITION_MILLIS = 2_500;
    private static final long FAST_IO_INTERVAL_FACTOR = 8;
    private static final int DISK_ERROR_WITHIN_OPERATIONS = 20;

    private final SimulatedGroup group;
    private final Simulation simulation;
    private final MemberReplacer memberReplacer;
    private final RandomGenerator random;
    private boolean stopped;

    FaultInjector(SimulatedGroup group, MemberReplacer memberReplacer) {
        this.group = group;
        this.memberReplacer = memberReplacer;
        simulation = group.simulation();
        random = simulation.random();
    }

    void start() {
        SchedulePlan.Profile profile = group.plan().profile();
        if (profile == SchedulePlan.Profile.ISOLATION) {
            simulation.scheduleMillis(STABILIZATION_MILLIS, this::isolateFollower);
            return;
        }
        if (profile == SchedulePlan.Profile.CRASHES) {
            group.network().setRates(0.1, 0.05, 0.1);
        } else if (random.nextBoolean()) {
            group.network()
                    .setRates(
                            random.nextDouble() * 0.1,
                            random.nextDouble() * 0.1,
                            random.nextDouble() * 0.05);
        }
        simulation.scheduleMillis(scaledMillis(STABILIZATION_MILLIS), this::injectNext);
    }

    /** Stops the injection and clears all faults of network and disks. */
    void stop() {
        stopped = true;
        group.disableFaults();
        group.network().clearFaults();
        for (SimulatedReplica replica : group.replicas()) {
            replica.disk().clearFaults();
        }
    }

    private void injectNext() {
        if (stopped) {
            return;
        }
        inject();
        simulation.scheduleMillis(
                random.nextLong(scaledMillis(MAXIMUM_FAULT_INTERVAL_MILLIS)) + 1, this::injectNext);
    }

    /**
     * Scales an interval in fast-I/O plans, whose long election timeout would otherwise leave no
     * time to elect a leader between faults.
     */
    private long scaledMillis(long millis) {
        return group.plan().fastIo() ? FAST_IO_INTERVAL_FACTOR * millis : millis;
    }

    private void inject() {
        switch (group.plan().profile()) {
            case LEASES -> injectLeaseFault(random.nextInt(6));
            case DISKS -> injectDiskFault(random.nextInt(5));
            case MEMBERS -> injectMemberFault(random.nextInt(5));
            case CRASHES -> leaderOrRandomReplica().ifPresent(SimulatedReplica::crash);
            default -> injectMixedFault(random.nextInt(4));
        }
    }

    private void injectMixedFault(int choice) {
        switch (choice) {
            case 0 -> injectLeaseFault(random.nextInt(6));
            case 1 -> injectDiskFault(random.nextInt(5));
            case 2 -> injectMemberFault(random.nextInt(5));
            default -> randomRunningReplica().ifPresent(SimulatedReplica::crash);
        }
    }

    private void injectLeaseFault(int choice) {
        switch (choice) {
            case 0 -> leaderOrRandomReplica().ifPresent(this::isolate);
            case 1 -> leaderOrRandomReplica().ifPresent(this::partitionOneWay);
            case 2 -> leaderOrRandomReplica().ifPresent(this::pause);
            case 3 -> leaderOrRandomReplica().ifPresent(this::partitionPair);
            case 4 -> isolateLeaderAfterFollower();
            default -> transferLeadership();
        }
    }

    private void injectDiskFault(int choice) {
        switch (choice) {
            case 0 -> randomRunningReplica().ifPresent(this::fillDisk);
            case 1 ->
                    randomRunningReplica()
                            .ifPresent(
                                    replica ->
                                            replica.disk()
                                                    .failAfter(
                                                            random.nextInt(
                                                                    DISK_ERROR_WITHIN_OPERATIONS)));
            case 2 -> crashAll();
            case 3 -> loseDisk();
            default -> randomRunningReplica().ifPresent(SimulatedReplica::crash);
        }
    }

    private void injectMemberFault(int choice) {
        switch (choice) {
            case 0 -> replaceMember();
            case 1 -> loseDisk();
            case 2 -> transferLeadership();
            case 3 -> leaderOrRandomReplica().ifPresent(this::isolate);
            default -> randomRunningReplica().ifPresent(SimulatedReplica::crash);
        }
    }

    private Optional<SimulatedReplica> randomRunningReplica() {
        List<SimulatedReplica> running =
                group.replicas().stream().filter(SimulatedReplica::isRunning).toList();
        return running.isEmpty()
                ? Optional.empty()
                : Optional.of(running.get(random.nextInt(running.size())));
    }

    private Optional<SimulatedReplica> leaderOrRandomReplica() {
        return group.leader().or(this::randomRunningReplica);
    }

    private void pause(SimulatedReplica replica) {
        simulation.countFault(Fault.PROCESS_PAUSED);
        replica.pause(random.nextLong(MAXIMUM_PAUSE_MILLIS) + 1);
    }

    private long isolate(SimulatedReplica replica) {
        simulation.countFault(Fault.ISOLATION);
        long millis = randomPartitionMillis();
        for (SimulatedReplica other : group.replicas()) {
            blockLinkFor(replica.id(), other.id(), millis);
            blockLinkFor(other.id(), replica.id(), millis);
        }
        return millis;
    }

    /** Isolates a follower, and then the leader as soon as the follower is reachable again. */
    private void isolateLeaderAfterFollower() {
        Optional<SimulatedReplica> leader = group.leader();
        Optional<SimulatedReplica> follower =
                randomRunningReplica()
                        .filter(replica -> leader.isPresent() && replica != leader.get());
        if (follower.isPresent()) {
            long millis = isolate(follower.get());
            simulation.scheduleMillis(millis, () -> isolate(leader.get()));
        }
    }

    private void partitionPair(SimulatedReplica replica) {
        randomRunningReplica()
                .filter(other -> other != replica)
                .ifPresent(
                        other -> {
                            simulation.countFault(Fault.PAIR_CUT);
                            long millis = randomPartitionMillis();
                            blockLinkFor(replica.id(), other.id(), millis);
                            blockLinkFor(other.id(), replica.id(), millis);
                        });
    }

    private long randomPartitionMillis() {
        return random.nextLong(MAXIMUM_PARTITION_MILLIS) + 1;
    }

    private void partitionOneWay(SimulatedReplica replica) {
        simulation.countFault(Fault.ONE_WAY_CUT);
        boolean outgoing = random.nextBoolean();
        long millis = randomPartitionMillis();
        for (SimulatedReplica other : group.replicas()) {
            if (outgoing) {
                blockLinkFor(replica.id(), other.id(), millis);
            } else {
                blockLinkFor(other.id(), replica.id(), millis);
            }
        }
    }

    private void blockLinkFor(String from, String to, long millis) {
        group.network().block(from, to);
        simulation.scheduleMillis(millis, () -> group.network().unblock(from, to));
    }

    private void transferLeadership() {
        group.leader()
                .ifPresent(
                        leader ->
                                leader.handleInput(
                                        node -> {
                                            if (node.transferLeadership(leader.nowMillis())) {
                                                simulation.countFault(Fault.LEADERSHIP_TRANSFERRED);
                                            }
                                        }));
    }

    private void fillDisk(SimulatedReplica replica) {
        replica.disk().setFull(true);
        simulation.scheduleMillis(
                random.nextLong(MAXIMUM_PAUSE_MILLIS), replica.disk()::clearFaults);
    }

    private void crashAll() {
        simulation.countFault(Fault.CRASH_OF_ALL);
        group.replicas().forEach(SimulatedReplica::crash);
    }

    /** Loses the disk of a replica, unless a replacement is in progress. */
    private void loseDisk() {
        if (!memberReplacer.isIdle()) {
            return;
        }
        randomRunningReplica()
                .ifPresent(
                        replica -> {
                            simulation.countFault(Fault.DISK_LOST);
                            boolean newIdAfterDiskLoss = group.options().newIdAfterDiskLoss();
                            replica.loseDisk(newIdAfterDiskLoss);
                            if (newIdAfterDiskLoss) {
                                memberReplacer.replace(replica.id());
                            }
                        });
    }

    private void replaceMember() {
        randomRunningReplica()
                .filter(replica -> !memberReplacer.isPartOfReplacement(replica.id()))
                .filter(replica -> group.activeReplicaIds().size() < 2 * group.plan().voterCount())
                .ifPresent(
                        replica -> {
                            simulation.countFault(Fault.MEMBER_REPLACED);
                            memberReplacer.replace(replica.id());
                        });
    }

    private void isolateFollower() {
        Optional<SimulatedReplica> leader = group.leader();
        Optional<SimulatedReplica> follower =
                randomRunningReplica()
                        .filter(replica -> leader.isPresent() && replica != leader.get());
        if (follower.isEmpty()) {
            return;
        }
        simulation.countFault(Fault.ISOLATION);
        long millis = randomPartitionMillis();
        long term = leader.get().node().map(ReplicaNode::term).orElse(0L);
        for (SimulatedReplica other : group.replicas()) {
            blockLinkFor(follower.get().id(), other.id(), millis);
            blockLinkFor(other.id(), follower.get().id(), millis);
        }
        simulation.scheduleMillis(
                millis + STABILIZATION_MILLIS, () -> checkLeaderUndisturbed(leader.get(), term));
    }

    private void checkLeaderUndisturbed(SimulatedReplica leader, long term) {
        boolean undisturbed =
                leader.node().map(node -> node.isLeader() && node.term() == term).orElse(false);
        if (!undisturbed) {
            group.checker()
                    .report(
                            Violation.Property.LEADER_UNDISTURBED,
                            leader.id() + " is no longer leader in term " + term);
        }
    }
}
