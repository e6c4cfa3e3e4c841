package org.yuccabank.verify;

import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.yuccabank.replication.ReplicaNode;

/** Injects the faults of a schedule at random times. Not thread-safe. */
final class FaultInjector {

    private static final long SETTLE_MILLIS = 900;
    private static final long MAXIMUM_GAP_MILLIS = 400;
    private static final long MAXIMUM_PAUSE_MILLIS = 1_500;
    private static final long MAXIMUM_CUT_MILLIS = 2_500;
    private static final long QUICK_FACTOR = 8;
    private static final int MAXIMUM_DISK_OPERATIONS = 20;

    private final SimulatedGroup group;
    private final Simulation simulation;
    private final Repairer repairer;
    private final RandomGenerator random;
    private boolean ended;

    FaultInjector(SimulatedGroup group, Repairer repairer) {
        this.group = group;
        this.repairer = repairer;
        simulation = group.simulation();
        random = simulation.random();
    }

    void start() {
        SchedulePlan.Profile profile = group.plan().profile();
        if (profile == SchedulePlan.Profile.ISOLATION) {
            simulation.afterMillis(SETTLE_MILLIS, this::isolateFollower);
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
        simulation.afterMillis(scaled(SETTLE_MILLIS), this::next);
    }

    /** Ends all faults and lets everything recover. */
    void end() {
        ended = true;
        group.endFaults();
        group.network().repair();
        for (SimulatedReplica replica : group.replicas()) {
            replica.disk().repair();
        }
    }

    private void next() {
        if (ended) {
            return;
        }
        inject();
        simulation.afterMillis(random.nextLong(scaled(MAXIMUM_GAP_MILLIS)) + 1, this::next);
    }

    /** A long election timeout needs more time between faults, or there is never a leader. */
    private long scaled(long millis) {
        return group.plan().quick() ? QUICK_FACTOR * millis : millis;
    }

    private void inject() {
        switch (group.plan().profile()) {
            case LEASES -> injectLeaseFault(random.nextInt(6));
            case DISKS -> injectDiskFault(random.nextInt(5));
            case MEMBERS -> injectMemberFault(random.nextInt(5));
            case CRASHES -> leaderOrAny().ifPresent(SimulatedReplica::crash);
            default -> injectAny(random.nextInt(4));
        }
    }

    private void injectAny(int choice) {
        switch (choice) {
            case 0 -> injectLeaseFault(random.nextInt(6));
            case 1 -> injectDiskFault(random.nextInt(5));
            case 2 -> injectMemberFault(random.nextInt(5));
            default -> any().ifPresent(SimulatedReplica::crash);
        }
    }

    private void injectLeaseFault(int choice) {
        switch (choice) {
            case 0 -> leaderOrAny().ifPresent(this::isolate);
            case 1 -> leaderOrAny().ifPresent(this::cutOneWay);
            case 2 -> leaderOrAny().ifPresent(this::pause);
            case 3 -> leaderOrAny().ifPresent(this::cutPair);
            case 4 -> isolateInTurn();
            default -> transfer();
        }
    }

    private void injectDiskFault(int choice) {
        switch (choice) {
            case 0 -> any().ifPresent(this::fillDisk);
            case 1 ->
                    any().ifPresent(
                                    replica ->
                                            replica.disk()
                                                    .failAfter(
                                                            random.nextInt(
                                                                    MAXIMUM_DISK_OPERATIONS)));
            case 2 -> crashAll();
            case 3 -> loseDisk();
            default -> any().ifPresent(SimulatedReplica::crash);
        }
    }

    private void injectMemberFault(int choice) {
        switch (choice) {
            case 0 -> replaceMember();
            case 1 -> loseDisk();
            case 2 -> transfer();
            case 3 -> leaderOrAny().ifPresent(this::isolate);
            default -> any().ifPresent(SimulatedReplica::crash);
        }
    }

    private Optional<SimulatedReplica> any() {
        List<SimulatedReplica> up =
                group.replicas().stream().filter(SimulatedReplica::isUp).toList();
        return up.isEmpty() ? Optional.empty() : Optional.of(up.get(random.nextInt(up.size())));
    }

    private Optional<SimulatedReplica> leaderOrAny() {
        return group.leader().or(this::any);
    }

    private void pause(SimulatedReplica replica) {
        simulation.count(Fault.PROCESS_PAUSED);
        replica.pause(random.nextLong(MAXIMUM_PAUSE_MILLIS) + 1);
    }

    private long isolate(SimulatedReplica replica) {
        simulation.count(Fault.ISOLATION);
        long millis = cutMillis();
        for (SimulatedReplica other : group.replicas()) {
            cutFor(replica.id(), other.id(), millis);
            cutFor(other.id(), replica.id(), millis);
        }
        return millis;
    }

    /** Isolates the leader at the moment when a replica that waits for an election returns. */
    private void isolateInTurn() {
        Optional<SimulatedReplica> leader = group.leader();
        Optional<SimulatedReplica> follower =
                any().filter(replica -> leader.isPresent() && replica != leader.get());
        if (follower.isPresent()) {
            long millis = isolate(follower.get());
            simulation.afterMillis(millis, () -> isolate(leader.get()));
        }
    }

    private void cutPair(SimulatedReplica replica) {
        any().filter(other -> other != replica)
                .ifPresent(
                        other -> {
                            simulation.count(Fault.PAIR_CUT);
                            long millis = cutMillis();
                            cutFor(replica.id(), other.id(), millis);
                            cutFor(other.id(), replica.id(), millis);
                        });
    }

    private long cutMillis() {
        return random.nextLong(MAXIMUM_CUT_MILLIS) + 1;
    }

    private void cutOneWay(SimulatedReplica replica) {
        simulation.count(Fault.ONE_WAY_CUT);
        boolean outgoing = random.nextBoolean();
        long millis = cutMillis();
        for (SimulatedReplica other : group.replicas()) {
            if (outgoing) {
                cutFor(replica.id(), other.id(), millis);
            } else {
                cutFor(other.id(), replica.id(), millis);
            }
        }
    }

    private void cutFor(String from, String to, long millis) {
        group.network().cut(from, to);
        simulation.afterMillis(millis, () -> group.network().join(from, to));
    }

    private void transfer() {
        group.leader()
                .ifPresent(
                        leader ->
                                leader.run(
                                        node -> {
                                            if (node.transferLeadership(leader.nowMillis())) {
                                                simulation.count(Fault.LEADERSHIP_TRANSFERRED);
                                            }
                                        }));
    }

    private void fillDisk(SimulatedReplica replica) {
        replica.disk().setFull(true);
        simulation.afterMillis(random.nextLong(MAXIMUM_PAUSE_MILLIS), replica.disk()::repair);
    }

    private void crashAll() {
        simulation.count(Fault.CRASH_OF_ALL);
        group.replicas().forEach(SimulatedReplica::crash);
    }

    /** Loses one disk, but none while an earlier loss is being repaired. */
    private void loseDisk() {
        if (!repairer.isIdle()) {
            return;
        }
        any().ifPresent(
                        replica -> {
                            simulation.count(Fault.DISK_LOST);
                            boolean newIdentifier = group.options().newIdentifier();
                            replica.loseDisk(newIdentifier);
                            if (newIdentifier) {
                                repairer.replace(replica.id());
                            }
                        });
    }

    private void replaceMember() {
        any().filter(replica -> !repairer.isInvolved(replica.id()))
                .filter(replica -> group.presentIds().size() < 2 * group.plan().replicas())
                .ifPresent(
                        replica -> {
                            simulation.count(Fault.MEMBER_REPLACED);
                            repairer.replace(replica.id());
                        });
    }

    private void isolateFollower() {
        Optional<SimulatedReplica> leader = group.leader();
        Optional<SimulatedReplica> follower =
                any().filter(replica -> leader.isPresent() && replica != leader.get());
        if (follower.isEmpty()) {
            return;
        }
        simulation.count(Fault.ISOLATION);
        long millis = cutMillis();
        long term = leader.get().node().map(ReplicaNode::term).orElse(0L);
        for (SimulatedReplica other : group.replicas()) {
            cutFor(follower.get().id(), other.id(), millis);
            cutFor(other.id(), follower.get().id(), millis);
        }
        simulation.afterMillis(millis + SETTLE_MILLIS, () -> checkTerm(leader.get(), term));
    }

    private void checkTerm(SimulatedReplica leader, long term) {
        boolean undisturbed =
                leader.node().map(node -> node.isLeader() && node.term() == term).orElse(false);
        if (!undisturbed) {
            group.checker()
                    .report(
                            Violation.Property.LEADER_UNDISTURBED,
                            leader.id() + " no longer leads in term " + term);
        }
    }
}
