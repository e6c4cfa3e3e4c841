package org.yuccabank.platform;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Random;
import java.util.SplittableRandom;

/** The faults of a soak in the order of their times; the same for the same seed. Immutable. */
record SoakPlan(List<Fault> faults, List<SoakMinion.Behaviour> behaviours) {

    private static final long MAXIMUM_LEASE_MILLIS = 9_000;

    /** The kinds of faults. */
    enum Kind {
        WORKER_DOWN,
        WORKER_UP,
        LEADER_KILLED,
        LEADER_STARTED,
        AGENT_KILLED,
        AGENT_STARTED,
        LINK_CUT,
        LINK_JOINED
    }

    /** A fault of a host, or of the leader. */
    record Fault(long atMillis, Kind kind, int host) {}

    SoakPlan {
        faults = List.copyOf(faults);
        behaviours = List.copyOf(behaviours);
    }

    static SoakPlan of(long seed, int hostCount, long lengthMillis) {
        Random random = new Random(new SplittableRandom(seed).nextLong());
        boolean keepsConnections = random.nextBoolean();
        boolean storesAcknowledgement = random.nextBoolean();
        double unansweredShare = random.nextInt(3) * 0.03;
        List<SoakMinion.Behaviour> behaviours = new ArrayList<>();
        List<Fault> faults = new ArrayList<>();
        for (int host = 0; host < hostCount; host++) {
            behaviours.add(
                    new SoakMinion.Behaviour(
                            keepsConnections,
                            storesAcknowledgement,
                            unansweredShare,
                            MAXIMUM_LEASE_MILLIS));
        }
        long time = 3_000;
        while (time < lengthMillis) {
            addEpisode(faults, random, time, hostCount);
            time += 2_500 + random.nextInt(6_000);
        }
        faults.sort(Comparator.comparingLong(Fault::atMillis));
        return new SoakPlan(faults, behaviours);
    }

    /** Adds workers that start again together, and what happens around this. */
    private static void addEpisode(List<Fault> faults, Random random, long time, int hostCount) {
        boolean cut = random.nextDouble() < 0.6;
        long cutAfterMillis = random.nextInt(3_000) - 300;
        long cutMillis = 1_500 + random.nextInt(7_500);
        boolean agentKilled = random.nextDouble() < 0.25;
        for (int host = 0; host < hostCount; host++) {
            if (random.nextDouble() < 0.6) {
                long downMillis = 100 + random.nextInt(900);
                add(faults, Kind.WORKER_DOWN, Kind.WORKER_UP, host, time, downMillis);
                if (cut) {
                    long start = time + cutAfterMillis;
                    add(faults, Kind.LINK_CUT, Kind.LINK_JOINED, host, start, cutMillis);
                }
                if (agentKilled) {
                    long start = time + random.nextInt(2_500) - 500;
                    long pause = 100 + random.nextInt(1_000);
                    add(faults, Kind.AGENT_KILLED, Kind.AGENT_STARTED, host, start, pause);
                }
            }
        }
        if (random.nextDouble() < 0.4) {
            long start = time + random.nextInt(4_000) - 1_000;
            long pause = 200 + random.nextInt(1_500);
            add(faults, Kind.LEADER_KILLED, Kind.LEADER_STARTED, 0, start, pause);
        }
    }

    private static void add(
            List<Fault> faults, Kind start, Kind end, int host, long atMillis, long lengthMillis) {
        faults.add(new Fault(atMillis, start, host));
        faults.add(new Fault(atMillis + lengthMillis, end, host));
    }
}
