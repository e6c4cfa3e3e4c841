package org.yuccabank.verify;

import java.util.random.RandomGenerator;
import org.yuccabank.replication.ReplicaSettings;
import org.yuccabank.replication.ReplicaTiming;

/**
 * What kind of schedule a seed stands for.
 *
 * @param profile kind of the faults
 * @param voterCount number of voters at the start
 * @param timing times of the protocol
 * @param snapshotEntries entries between snapshots
 * @param maximumBatchBytes largest size of the entries of one message
 * @param fastIo true for a network and disks much faster than the timeouts
 * @param minimumClockRate rate of the slowest clock
 * @param maximumClockRate rate of the fastest clock
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

    /** Kinds of schedules. */
    enum Profile {
        /** All faults. */
        MIXED,
        /** Clocks at the limit of the allowed drift, and leaders that are cut off or paused. */
        LEASES,
        /** One follower is isolated, and nothing else happens. */
        ISOLATION,
        /** Crashes and failing, full and lost disks. */
        DISKS,
        /** Members are replaced, also several at the same time. */
        MEMBERS,
        /** Leaders crash often, and many messages are lost. */
        CRASHES
    }

    /** Rates of two clocks differ by at most 10 %: 1.047 / 0.953 is below 1.1. */
    private static final double MINIMUM_CLOCK_RATE = 0.953;

    private static final double MAXIMUM_CLOCK_RATE = 1.047;
    private static final long MINIMUM_FAULT_PHASE_MILLIS = 3_000;
    private static final long FAULT_PHASE_SPREAD_MILLIS = 4_000;
    private static final int[] SNAPSHOT_ENTRY_CHOICES = {10, 60, 100_000};

    /** A long election timeout needs a longer schedule for several elections. */
    private static final long FAST_IO_DURATION_FACTOR = 3;

    /** A long lease makes the effect of the drift long compared with an election. */
    private static final ReplicaTiming FAST_IO_TIMING = new ReplicaTiming(1000, 10, 75, 10);

    /** Chooses a plan. */
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

    /** Rate of one of the clocks; with clocks at the limit each is either slowest or fastest. */
    double clockRate(RandomGenerator random) {
        if (profile == Profile.LEASES) {
            return random.nextBoolean() ? minimumClockRate : maximumClockRate;
        }
        return minimumClockRate + random.nextDouble() * (maximumClockRate - minimumClockRate);
    }
}
