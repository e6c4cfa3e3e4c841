package org.yuccabank.verify;

import java.util.List;
import java.util.random.RandomGenerator;

/**
 * Suspends hosts and steps their time of day, in addition to the other faults of a schedule. It
 * uses random numbers of its own and only every fifth seed, so that the schedules of other seeds
 * are those that earlier reports name. Not thread-safe.
 */
final class ClockFaultInjector {

    /** Interval between the seeds whose schedules contain clock faults, the first of which is 1. */
    static final int SEED_INTERVAL = 5;

    private static final long STABILIZATION_MILLIS = 900;
    private static final long MAXIMUM_FAULT_INTERVAL_MILLIS = 1_200;
    private static final long MAXIMUM_SUSPENSION_MILLIS = 2_000;
    private static final long MAXIMUM_STEP_MILLIS = 5_000;

    private final SimulatedGroup group;
    private final Simulation simulation;
    private final RandomGenerator random;
    private boolean stopped;

    ClockFaultInjector(SimulatedGroup group, long seed) {
        this.group = group;
        simulation = group.simulation();
        random = Simulation.newRandomGenerator(~seed);
        stopped = seed % SEED_INTERVAL != 1;
    }

    void start() {
        // A suspended leader must lose its leadership, which this profile forbids.
        if (group.plan().profile() != SchedulePlan.Profile.ISOLATION) {
            simulation.scheduleMillis(STABILIZATION_MILLIS, this::injectNext);
        }
    }

    void stop() {
        stopped = true;
    }

    private void injectNext() {
        if (stopped) {
            return;
        }
        if (random.nextInt(3) > 0) {
            suspend(group.leader().orElseGet(this::randomReplica));
        } else {
            step(group.leader().orElseGet(this::randomReplica));
        }
        simulation.scheduleMillis(
                random.nextLong(MAXIMUM_FAULT_INTERVAL_MILLIS) + 1, this::injectNext);
    }

    private SimulatedReplica randomReplica() {
        List<SimulatedReplica> replicas = List.copyOf(group.replicas());
        return replicas.get(random.nextInt(replicas.size()));
    }

    private void suspend(SimulatedReplica replica) {
        simulation.countFault(Fault.HOST_SUSPENDED);
        replica.suspend(random.nextLong(MAXIMUM_SUSPENSION_MILLIS) + 1);
    }

    /** Steps the time of day; half of the steps are undone later. */
    private void step(SimulatedReplica replica) {
        simulation.countFault(Fault.WALL_CLOCK_STEPPED);
        long millis = random.nextLong(-MAXIMUM_STEP_MILLIS, MAXIMUM_STEP_MILLIS);
        replica.stepWallClock(millis);
        if (random.nextBoolean()) {
            simulation.scheduleMillis(
                    random.nextLong(MAXIMUM_STEP_MILLIS) + 1, () -> replica.stepWallClock(-millis));
        }
    }
}
