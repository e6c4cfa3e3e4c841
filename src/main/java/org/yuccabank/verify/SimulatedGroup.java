package org.yuccabank.verify;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.yuccabank.event.Event;
import org.yuccabank.replication.ReplicaMember;
import org.yuccabank.replication.ReplicaNode;

/** Replica group of a schedule with its network. Not thread-safe. */
final class SimulatedGroup {

    private static final long MAXIMUM_CLOCK_OFFSET_MICROS = 1_000_000_000L;

    private final Simulation simulation;
    private final SchedulePlan plan;
    private final VerifyOptions options;
    private final InvariantChecker checker;
    private final HostModel hostModel;
    private final FakeNetwork network;
    private final Map<String, SimulatedReplica> replicas = new TreeMap<>();
    private final Map<String, SimulatedReplica> replicasByAddress = new TreeMap<>();
    private boolean faultsEnabled = true;
    private int createdCount;

    SimulatedGroup(
            Simulation simulation,
            SchedulePlan plan,
            VerifyOptions options,
            InvariantChecker checker) {
        this(simulation, plan, options, checker, HostModel.defaults());
    }

    SimulatedGroup(
            Simulation simulation,
            SchedulePlan plan,
            VerifyOptions options,
            InvariantChecker checker,
            HostModel hostModel) {
        this.simulation = simulation;
        this.plan = plan;
        this.options = options;
        this.checker = checker;
        this.hostModel = hostModel;
        network = new FakeNetwork(simulation, plan.fastIo());
    }

    /** Starts the initial voters. */
    void start() {
        List<ReplicaMember> members = new ArrayList<>();
        for (int number = 1; number <= plan.voterCount(); number++) {
            members.add(ReplicaMember.voter("r" + number, "r" + number));
        }
        members.forEach(member -> startReplica(members));
    }

    /** Creates and starts a replica with the next identifier. */
    SimulatedReplica startReplica(List<ReplicaMember> members) {
        createdCount++;
        FakeClock clock =
                new FakeClock(
                        simulation,
                        plan.clockRate(simulation.random()),
                        simulation.random().nextLong(MAXIMUM_CLOCK_OFFSET_MICROS));
        SimulatedReplica replica = new SimulatedReplica(this, "r" + createdCount, members, clock);
        replicas.put(replica.id(), replica);
        replicasByAddress.put(replica.id(), replica);
        replica.start();
        return replica;
    }

    Simulation simulation() {
        return simulation;
    }

    SchedulePlan plan() {
        return plan;
    }

    VerifyOptions options() {
        return options;
    }

    HostModel hostModel() {
        return hostModel;
    }

    InvariantChecker checker() {
        return checker;
    }

    FakeNetwork network() {
        return network;
    }

    boolean areFaultsEnabled() {
        return faultsEnabled;
    }

    void disableFaults() {
        faultsEnabled = false;
    }

    Optional<SimulatedReplica> replica(String id) {
        return Optional.ofNullable(replicas.get(id));
    }

    /** Records that a replica listens at the address of its predecessor. */
    void takeOver(String address, SimulatedReplica replica) {
        replicasByAddress.put(address, replica);
    }

    /** Returns whether a replica could open a connection to an address now. */
    boolean isReachable(String from, String address) {
        SimulatedReplica target = replicasByAddress.get(address);
        return target != null
                && target.isListening()
                && !network.isBlocked(from, target.id())
                && !network.isBlocked(target.id(), from);
    }

    Collection<SimulatedReplica> replicas() {
        return replicas.values();
    }

    List<String> activeReplicaIds() {
        return replicas.values().stream()
                .filter(replica -> !replica.isRetired())
                .map(SimulatedReplica::id)
                .toList();
    }

    List<ReplicaNode> runningNodes() {
        return replicas.values().stream()
                .map(SimulatedReplica::node)
                .flatMap(Optional::stream)
                .toList();
    }

    /** Returns the leader with the highest term; empty if no replica is leader. */
    Optional<SimulatedReplica> leader() {
        SimulatedReplica newest = null;
        for (SimulatedReplica replica : replicas.values()) {
            boolean leads = replica.node().map(ReplicaNode::isLeader).orElse(false);
            if (leads
                    && (newest == null
                            || replica.node().get().term() > newest.node().get().term())) {
                newest = replica;
            }
        }
        return Optional.ofNullable(newest);
    }

    void onEvent(Event event) {
        if (event == Event.LOG_CORRUPT) {
            checker.report(Violation.Property.RESTARTS, "a replica found its log corrupt");
        }
    }
}
