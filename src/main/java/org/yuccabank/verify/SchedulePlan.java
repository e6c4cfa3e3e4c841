package org.yuccabank.verify;

import java.util.random.RandomGenerator;
import org.yuccabank.replication.ReplicaSettings;
import org.yuccabank.replication.ReplicaTiming;

/**
 * Parameters of a schedule.
 *
 * @param profile profile of the injected faults
 * @param voterCount initial number of voters
 * @param timing timing of the protocol
 * @param snapshotEntries number of entries between snapshots
 * @param maximumBatchBytes maximum size of the entries in one message
 * @param fastIo whether network and disks are much faster than the timeouts
 * @param minimumClockRate rate of the slowest clock relative to simulated time
 * @param maximumClockRate rate of the fastest clock relative to simulated time
 * @param faultPhaseMillis simulated time during which faults are injected
 */
record SchedulePlan(
        Profile profile,
        int voterCount,
        ReplicaTiming timing,
        int snapshotEntries,
        int maximumBatchBytes,
        boolean fastIo,
        double minimumClockRate,
        double maximumClockRate,
        long faultPhaseMillis) {

    /** Fault profiles. */
    enum Profile {
        /** All kinds of faults. */
        MIXED,
        /** Clocks at the limits of the allowed drift, and leaders that are isolated or paused. */
        LEASES,
        /** Isolation of one follower without any other fault. */
        ISOLATION,
        /** Crashes and failing, full and lost disks. */
        DISKS,
        /** Replacement of members, including concurrent replacements. */
        MEMBERS,
        /** Frequent crashes of leaders and a high rate of lost messages. */
        CRASHES
    }

    /** Two clock rates differ by less than 10 %, because 1.047 / 0.953 is below 1.1. */
    private static final double MINIMUM_CLOCK_RATE = 0.953;

    private static final double MAXIMUM_CLOCK_RATE = 1.047;
    private static final long MINIMUM_FAULT_PHASE_MILLIS = 3_000;
    private static final long FAULT_PHASE_SPREAD_MILLIS = 4_000;
    private static final int[] SNAPSHOT_ENTRY_CHOICES = {10, 60, 100_000};

    /** The long election timeout requires a longer schedule to include several elections. */
    private static final long FAST_IO_DURATION_FACTOR = 3;

    /** A long lease makes the effect of clock drift large in relation to an election. */
    private static final ReplicaTiming FAST_IO_TIMING = new ReplicaTiming(1000, 10, 75, 10);

    /** Returns a random plan. */
    static SchedulePlan of(RandomGenerator random) {
        Profile[] profiles = Profile.values();
        Profile profile = profiles[random.nextInt(profiles.length)];
        boolean leaseProfile = profile == Profile.LEASES;
        boolean fastIo = leaseProfile && random.nextBoolean();
        double driftFraction = leaseProfile ? 1 : random.nextDouble();
        return new SchedulePlan(
                profile,
                random.nextBoolean() ? 3 : 5,
                fastIo ? FAST_IO_TIMING : ReplicaTiming.defaults(),
                SNAPSHOT_ENTRY_CHOICES[random.nextInt(SNAPSHOT_ENTRY_CHOICES.length)],
                random.nextBoolean() ? 1 : ReplicaSettings.MAXIMUM_BATCH_BYTES,
                fastIo,
                1 - driftFraction * (1 - MINIMUM_CLOCK_RATE),
                1 + driftFraction * (MAXIMUM_CLOCK_RATE - 1),
                (MINIMUM_FAULT_PHASE_MILLIS + random.nextLong(FAULT_PHASE_SPREAD_MILLIS))
                        * (fastIo ? FAST_IO_DURATION_FACTOR : 1));
    }

    /** Returns a random clock rate; profile {@code LEASES} uses only the minimum and maximum. */
    double clockRate(RandomGenerator random) {
        if (profile == Profile.LEASES) {
            return random.nextBoolean() ? minimumClockRate : maximumClockRate;
        }
        return minimumClockRate + random.nextDouble() * (maximumClockRate - minimumClockRate);
    }
}
