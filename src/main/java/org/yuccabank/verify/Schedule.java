package org.yuccabank.verify;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.yuccabank.replication.ReplicaMember;
import org.yuccabank.replication.ReplicaNode;

/**
 * Seeded simulation run of a replica group with clients and faults. After the fault phase the group
 * must complete every pending operation and all replicas must reach the same state. Runs are
 * deterministic for a seed.
 */
final class Schedule {

    private static final List<SimulatedClient.Role> CLIENT_ROLES =
            List.of(
                    SimulatedClient.Role.USER,
                    SimulatedClient.Role.USER,
                    SimulatedClient.Role.USER,
                    SimulatedClient.Role.READER,
                    SimulatedClient.Role.READER,
                    SimulatedClient.Role.OPERATOR,
                    SimulatedClient.Role.OPERATOR);

    private static final long CHECK_INTERVAL_MILLIS = 500;
    private static final long RECOVERY_TIMEOUT_MILLIS = 30_000;

    private final Simulation simulation;
    private final InvariantChecker checker;
    private final SimulatedGroup group;
    private final History history = new History();
    private final List<SimulatedClient> clients = new ArrayList<>();
    private final MemberReplacer memberReplacer;
    private final FaultInjector faultInjector;
    private final ClockFaultInjector clockFaultInjector;

    /**
     * Result of a schedule.
     *
     * @param faultCounts number of injected faults by kind
     * @param operationCount number of client operations
     * @param leaderChanges number of terms with a leader
     * @param violations violations of properties
     */
    record Outcome(
            Map<Fault, Long> faultCounts,
            long operationCount,
            long leaderChanges,
            List<Violation> violations) {}

    private Schedule(long seed, VerifyOptions options) {
        simulation = new Simulation(seed);
        checker = new InvariantChecker(seed);
        SchedulePlan plan = SchedulePlan.of(simulation.random());
        group = new SimulatedGroup(simulation, plan, options, checker);
        memberReplacer = new MemberReplacer(group);
        faultInjector = new FaultInjector(group, memberReplacer);
        clockFaultInjector = new ClockFaultInjector(group, seed);
    }

    /** Runs the schedule for a seed. */
    static Outcome run(long seed, VerifyOptions options) {
        return new Schedule(seed, options).run();
    }

    private Outcome run() {
        try {
            runPhases();
        } catch (IllegalStateException exception) {
            checker.report(Violation.Property.NO_CONTRADICTION, exception.getMessage());
        }
        return new Outcome(
                simulation.faultCounts(),
                history.size(),
                checker.leaderChanges(),
                checker.violations());
    }

    private void runPhases() {
        group.start();
        for (SimulatedClient.Role role : CLIENT_ROLES) {
            clients.add(new SimulatedClient(group, history, clients.size() + 1, role));
        }
        clients.forEach(SimulatedClient::start);
        memberReplacer.start();
        faultInjector.start();
        clockFaultInjector.start();
        runUntil(group.plan().faultPhaseMillis());
        faultInjector.stop();
        clockFaultInjector.stop();
        clients.forEach(SimulatedClient::stop);
        recover();
        checker.checkHistory(history);
    }

    /** Runs until a time with regular log checks; stops early at the first violation. */
    private void runUntil(long endMillis) {
        while (simulation.nowMillis() < endMillis && checker.violations().isEmpty()) {
            simulation.runUntilMillis(
                    Math.min(endMillis, simulation.nowMillis() + CHECK_INTERVAL_MILLIS));
            checker.checkLogs(group.runningNodes());
        }
    }

    private void recover() {
        long end = simulation.nowMillis() + RECOVERY_TIMEOUT_MILLIS;
        while (simulation.nowMillis() < end && !hasRecovered() && checker.violations().isEmpty()) {
            runUntil(simulation.nowMillis() + CHECK_INTERVAL_MILLIS);
        }
        if (!hasRecovered() && checker.violations().isEmpty()) {
            checker.report(Violation.Property.PROGRESS, describeState());
        }
    }

    private boolean hasRecovered() {
        return memberReplacer.isIdle()
                && clients.stream().allMatch(SimulatedClient::isIdle)
                && replicasAgree();
    }

    private boolean replicasAgree() {
        Optional<SimulatedReplica> leader = group.leader();
        if (leader.isEmpty()) {
            return false;
        }
        long digest = leader.get().stateMachine().digest();
        for (ReplicaMember member : leader.get().node().orElseThrow().status().members()) {
            Optional<SimulatedReplica> replica = group.replica(member.replicaId());
            boolean agrees =
                    replica.isPresent()
                            && replica.get().isRunning()
                            && replica.get().stateMachine().digest() == digest;
            if (!agrees) {
                return false;
            }
        }
        return true;
    }

    private String describeState() {
        StringBuilder text = new StringBuilder("no recovery within the time limit;");
        for (SimulatedReplica replica : group.replicas()) {
            text.append(' ').append(replica.id()).append('=');
            text.append(replica.node().map(Schedule::describeState).orElse("down"));
        }
        return text.append(" replacing=").append(!memberReplacer.isIdle()).toString();
    }

    private static String describeState(ReplicaNode node) {
        return node.role() + "/" + node.term() + "/" + node.appliedIndex();
    }
}
