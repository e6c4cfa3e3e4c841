package org.yuccabank.bench;

import com.fasterxml.jackson.annotation.JsonPropertyOrder;
import org.HdrHistogram.Histogram;

/**
 * Results of one run, in the order of the JSON fields, which {@code docs/bench.md} defines.
 * Immutable.
 *
 * @param policy name of the policy
 * @param load name of the load
 * @param workers number of hosts
 * @param seed seed of the random number generators
 * @param urgentLatencyMillis latency of urgent requests
 * @param lateShare share of urgent requests answered after their deadline
 * @param batchFinishedShare share of the finishable batch work that finished
 * @param evictions batch tasks that the scheduler stopped
 * @param lostWorkSeconds batch work that was done and then lost, in seconds of run time
 * @param capacityBreaches number of host steps in which a host was assigned more than its capacity
 * @param doubleRuns starts of a task that was already running elsewhere
 * @param startDelayMillis time from submission of urgent tasks to their start
 * @param quotaError share of the held processors that a fair division would give to other teams
 * @param usedShare share of the processors in use
 */
@JsonPropertyOrder({
    "policy",
    "load",
    "workers",
    "seed",
    "urgentLatencyMillis",
    "lateShare",
    "batchFinishedShare",
    "evictions",
    "lostWorkSeconds",
    "capacityBreaches",
    "doubleRuns",
    "startDelayMillis",
    "quotaError",
    "usedShare"
})
public record BenchResult(
        String policy,
        String load,
        int workers,
        long seed,
        Percentiles urgentLatencyMillis,
        double lateShare,
        double batchFinishedShare,
        long evictions,
        double lostWorkSeconds,
        long capacityBreaches,
        long doubleRuns,
        Percentiles startDelayMillis,
        double quotaError,
        double usedShare) {

    /**
     * Percentiles of a distribution in milliseconds.
     *
     * @param p50 median
     * @param p99 99th percentile
     * @param p999 99.9th percentile
     */
    @JsonPropertyOrder({"p50", "p99", "p999"})
    public record Percentiles(double p50, double p99, double p999) {

        static Percentiles of(Histogram histogram, double unitsPerMilli) {
            return new Percentiles(
                    rounded(histogram.getValueAtPercentile(50) / unitsPerMilli),
                    rounded(histogram.getValueAtPercentile(99) / unitsPerMilli),
                    rounded(histogram.getValueAtPercentile(99.9) / unitsPerMilli));
        }
    }

    static double rounded(double value) {
        return Math.round(value * 10_000) / 10_000.0;
    }
}
