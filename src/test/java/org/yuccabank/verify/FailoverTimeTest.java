package org.yuccabank.verify;

import static org.testng.Assert.assertTrue;

import java.util.Optional;
import org.HdrHistogram.Histogram;
import org.testng.Reporter;
import org.testng.annotations.Test;
import org.yuccabank.replication.ReplicaTiming;

/** Measures the simulated time until a new leader is elected after the leader stops. */
public final class FailoverTimeTest {

    private static final int SEEDS = 1_000;
    private static final long FAILOVER_P99_TARGET_MILLIS = 1_000;
    private static final long STABILIZATION_MILLIS = 2_000;
    private static final long TIMEOUT_MILLIS = 20_000;

    private static long measureFailoverMillis(long seed, int replicas) {
        Simulation simulation = new Simulation(seed);
        SchedulePlan plan =
                new SchedulePlan(
                        SchedulePlan.Profile.MIXED,
                        replicas,
                        ReplicaTiming.defaults(),
                        1000,
                        1 << 20,
                        false,
                        0.953,
                        1.047,
                        0);
        SimulatedGroup group =
                new SimulatedGroup(
                        simulation, plan, VerifyOptions.defaults(), new InvariantChecker(seed));
        group.start();
        group.disableFaults();
        simulation.runUntilMillis(STABILIZATION_MILLIS + simulation.random().nextLong(100));
        Optional<SimulatedReplica> leader = group.leader();
        leader.orElseThrow().retire();
        long stoppedAtMillis = simulation.nowMillis();
        while (group.leader().isEmpty()
                && simulation.nowMillis() < stoppedAtMillis + TIMEOUT_MILLIS) {
            simulation.runUntilMillis(simulation.nowMillis() + 1);
        }
        return simulation.nowMillis() - stoppedAtMillis;
    }

    /** Guards against elections above 1 s at a latency of 1.5 ms between data centres. */
    @Test
    public void shouldElectLeaderWithinSecond() {
        for (int replicas : new int[] {3, 5}) {
            Histogram histogram = new Histogram(TIMEOUT_MILLIS, 3);
            for (long seed = 1; seed <= SEEDS; seed++) {
                histogram.recordValue(measureFailoverMillis(seed, replicas));
            }
            String summary =
                    String.format(
                            "failover with %d replicas over %d seeds: p50 %d ms, p99 %d ms, max %d"
                                    + " ms",
                            replicas,
                            SEEDS,
                            histogram.getValueAtPercentile(50),
                            histogram.getValueAtPercentile(99),
                            histogram.getMaxValue());
            Reporter.log(summary, true);
            assertTrue(histogram.getValueAtPercentile(99) < FAILOVER_P99_TARGET_MILLIS, summary);
        }
    }
}
