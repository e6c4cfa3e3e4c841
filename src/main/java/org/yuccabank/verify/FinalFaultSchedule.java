package org.yuccabank.verify;

import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;
import org.yuccabank.replication.ReplicaNode;
import org.yuccabank.replication.ReplicaSettings;
import org.yuccabank.replication.ReplicaTiming;

/**
 * Seeded simulation run of a replica group whose hosts and disks fail within its tolerance. At the
 * end the tolerated number of disks is lost while all other hosts lose power, right after a
 * confirmation or shortly after a proposal. The group must confirm commands again within the time
 * that the requirements allow, and nothing that was confirmed may be lost. Runs are deterministic
 * for a seed.
 */
final class FinalFaultSchedule {

    /** Time after the last host is back within which service resumes, from the requirements. */
    private static final long RECOVERY_MILLIS = 12_000;

    private static final List<SimulatedClient.Role> CLIENT_ROLES =
            List.of(
                    SimulatedClient.Role.USER,
                    SimulatedClient.Role.USER,
                    SimulatedClient.Role.READER,
                    SimulatedClient.Role.OPERATOR,
                    SimulatedClient.Role.OPERATOR);

    private static final int[] SNAPSHOT_ENTRY_CHOICES = {10, 60, 100_000};

    /**
     * Splits the log of a replica that lacks all of it into several messages. In a network that
     * reorders messages, one message for each entry makes the leader send the log again and again.
     */
    private static final int SMALL_BATCH_BYTES = 16 << 10;

    private static final long MINIMUM_FAULT_PHASE_MILLIS = 1_500;
    private static final long FAULT_PHASE_SPREAD_MILLIS = 14_000;
    private static final long CHECK_INTERVAL_MILLIS = 500;
    private static final long MAXIMUM_WAIT_FOR_CONFIRMATION_MILLIS = 2_000;
    private static final long MINIMUM_PROPOSAL_AGE_MILLIS = 5;
    private static final long MAXIMUM_PROPOSAL_AGE_MILLIS = 400;
    private static final double MAXIMUM_CLOCK_DEVIATION = 0.047;

    private final Simulation simulation;
    private final InvariantChecker checker;
    private final SimulatedGroup group;
    private final History history = new History();
    private final List<SimulatedClient> clients = new ArrayList<>();
    private final List<SimulatedHost> hosts = new ArrayList<>();
    private final HostFaults faults;
    private final MembershipDriver membershipDriver;

    private FinalFaultSchedule(long seed, VerifyOptions options, MembershipPolicy policy) {
        simulation = new Simulation(seed);
        checker = new InvariantChecker(seed);
        RandomGenerator random = simulation.random();
        HostModel hostModel =
                new HostModel(
                        PowerLossDisk::new,
                        random.nextBoolean(),
                        seed % 2 == 0 ? HostModel.FAST_SYNC_MICROS : HostModel.SLOW_SYNC_MICROS);
        group = new SimulatedGroup(simulation, plan(random), options, checker, hostModel);
        faults = new HostFaults(group, hosts, random.nextBoolean());
        membershipDriver = new MembershipDriver(group, policy, hosts);
    }

    private static SchedulePlan plan(RandomGenerator random) {
        return new SchedulePlan(
                SchedulePlan.Profile.DISKS,
                random.nextBoolean() ? 3 : 5,
                ReplicaTiming.defaults(),
                SNAPSHOT_ENTRY_CHOICES[random.nextInt(SNAPSHOT_ENTRY_CHOICES.length)],
                random.nextBoolean() ? SMALL_BATCH_BYTES : ReplicaSettings.MAXIMUM_BATCH_BYTES,
                false,
                1 - random.nextDouble() * MAXIMUM_CLOCK_DEVIATION,
                1 + random.nextDouble() * MAXIMUM_CLOCK_DEVIATION,
                MINIMUM_FAULT_PHASE_MILLIS + random.nextLong(FAULT_PHASE_SPREAD_MILLIS));
    }

    /** Runs the schedule for a seed. */
    static Schedule.Outcome run(long seed, VerifyOptions options, MembershipPolicy policy) {
        return new FinalFaultSchedule(seed, options, policy).run();
    }

    private Schedule.Outcome run() {
        try {
            runPhases();
        } catch (IllegalStateException exception) {
            checker.report(Violation.Property.NO_CONTRADICTION, exception.getMessage());
        }
        return new Schedule.Outcome(
                simulation.faultCounts(),
                history.size(),
                checker.leaderChanges(),
                checker.violations());
    }

    private void runPhases() {
        group.start();
        group.replicas().forEach(replica -> hosts.add(new SimulatedHost(replica)));
        for (SimulatedClient.Role role : CLIENT_ROLES) {
            clients.add(new SimulatedClient(group, history, clients.size() + 1, role));
        }
        clients.forEach(SimulatedClient::start);
        membershipDriver.start();
        if (simulation.random().nextInt(4) > 0) {
            faults.start();
        }
        runUntil(group.plan().faultPhaseMillis());
        awaitFinalFault();
        faults.injectFinalFault();
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

    /** Runs until the next confirmation, or for a random time, during which clients propose. */
    private void awaitFinalFault() {
        RandomGenerator random = simulation.random();
        long start = simulation.nowMillis();
        if (random.nextBoolean()) {
            runUntil(
                    start
                            + MINIMUM_PROPOSAL_AGE_MILLIS
                            + random.nextLong(
                                    MAXIMUM_PROPOSAL_AGE_MILLIS - MINIMUM_PROPOSAL_AGE_MILLIS));
            return;
        }
        long confirmed = checker.acknowledgedIndex();
        while (checker.acknowledgedIndex() == confirmed
                && simulation.nowMillis() < start + MAXIMUM_WAIT_FOR_CONFIRMATION_MILLIS) {
            simulation.runUntilMillis(simulation.nowMillis() + 1);
        }
    }

    private void recover() {
        long confirmed = checker.acknowledgedIndex();
        long deadline =
                simulation.nowMillis() + HostFaults.MAXIMUM_DOWNTIME_MILLIS + RECOVERY_MILLIS;
        while (simulation.nowMillis() < deadline && checker.acknowledgedIndex() == confirmed) {
            runUntil(simulation.nowMillis() + CHECK_INTERVAL_MILLIS);
            if (!checker.violations().isEmpty()) {
                return;
            }
        }
        if (checker.acknowledgedIndex() == confirmed) {
            checker.report(Violation.Property.PROGRESS, describeState());
            return;
        }
        clients.forEach(SimulatedClient::stop);
        while (simulation.nowMillis() < deadline
                && !clients.stream().allMatch(SimulatedClient::isIdle)) {
            runUntil(simulation.nowMillis() + CHECK_INTERVAL_MILLIS);
        }
    }

    private String describeState() {
        StringBuilder text = new StringBuilder("no recovery within the time limit;");
        for (SimulatedReplica replica : group.replicas()) {
            text.append(' ').append(replica.id()).append('=');
            text.append(replica.node().map(FinalFaultSchedule::describeState).orElse("down"));
        }
        return text.toString();
    }

    private static String describeState(ReplicaNode node) {
        return node.role()
                + "/"
                + node.term()
                + "/"
                + node.status().lastIndex()
                + node.status().voters();
    }
}
