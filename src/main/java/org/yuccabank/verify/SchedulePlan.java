package org.yuccabank.verify;

import java.util.random.RandomGenerator;
import org.yuccabank.replication.ReplicaSettings;
import org.yuccabank.replication.ReplicaTiming;

/**
 * What kind of schedule a seed stands for.
 *
 * @param profile kind of the faults
 * @param replicas number of voters at the start
 * @param timing times of the protocol
 * @param snapshotEntries entries between snapshots
 * @param batchBytes largest size of the entries of one message
 * @param quick true for a network and disks much faster than the timeouts
 * @param slowestClock rate of the slowest clock
 * @param fastestClock rate of the fastest clock
 * @param faultMillis simulated time during which faults are injected
 */
record SchedulePlan(
        Profile profile,
        int replicas,
        ReplicaTiming timing,
        int snapshotEntries,
        int batchBytes,
        boolean quick,
        double slowestClock,
        double fastestClock,
        long faultMillis) {

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
    private static final double SLOWEST_CLOCK = 0.953;

    private static final double FASTEST_CLOCK = 1.047;
    private static final long SHORTEST_MILLIS = 3_000;
    private static final long SPREAD_MILLIS = 4_000;
    private static final int[] SNAPSHOT_ENTRIES = {10, 60, 100_000};

    /** A long election timeout needs a longer schedule for several elections. */
    private static final long QUICK_FACTOR = 3;

    /** A long lease makes the effect of the drift long compared with an election. */
    private static final ReplicaTiming QUICK_TIMING = new ReplicaTiming(1000, 10, 75, 10);

    /** Chooses a plan. */
    static SchedulePlan of(RandomGenerator random) {
        Profile[] profiles = Profile.values();
        Profile profile = profiles[random.nextInt(profiles.length)];
        boolean leases = profile == Profile.LEASES;
        boolean quick = leases && random.nextBoolean();
        double drift = leases ? 1 : random.nextDouble();
        return new SchedulePlan(
                profile,
                random.nextBoolean() ? 3 : 5,
                quick ? QUICK_TIMING : ReplicaTiming.standard(),
                SNAPSHOT_ENTRIES[random.nextInt(SNAPSHOT_ENTRIES.length)],
                random.nextBoolean() ? 1 : ReplicaSettings.MAXIMUM_BATCH_BYTES,
                quick,
                1 - drift * (1 - SLOWEST_CLOCK),
                1 + drift * (FASTEST_CLOCK - 1),
                (SHORTEST_MILLIS + random.nextLong(SPREAD_MILLIS)) * (quick ? QUICK_FACTOR : 1));
    }

    /** Rate of one of the clocks; with clocks at the limit each is either slowest or fastest. */
    double clockRate(RandomGenerator random) {
        if (profile == Profile.LEASES) {
            return random.nextBoolean() ? slowestClock : fastestClock;
        }
        return slowestClock + random.nextDouble() * (fastestClock - slowestClock);
    }
}
