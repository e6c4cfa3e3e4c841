package org.yuccabank.bench.routing;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.math.BigDecimal;
import java.math.RoundingMode;
import java.util.Locale;
import java.util.stream.Collectors;

/**
 * Results of one run. Immutable.
 *
 * @param scenario what was run
 * @param latency latency of answered requests at the caller, in milliseconds
 * @param offered requests that callers sent after the warm-up
 * @param lateShare share of the answered requests that were answered after their deadline
 * @param refusedShare share of the offered requests that an entry refused
 * @param failedShare share of the offered requests that were dispatched and not answered
 * @param goodput requests answered in time, per second
 * @param goodputShare work answered in time as a share of the capacity of all targets
 * @param retriesShare retries per admitted request
 * @param hedgesShare hedges per admitted request
 * @param amplification attempts per admitted request
 * @param refusedButRan requests that ran although "not run" was reported to the caller
 * @param runTwice at-most-once requests that ran more than once
 * @param refusedByLeaving requests that reached a leaving target and were refused there
 * @param sentToLeaving requests that reached a leaving target later than 2 s after its announcement
 * @param fairnessError share of the served work that exceeds the fair shares of its accounts
 */
record RoutingReport(
        RoutingScenario scenario,
        Latency latency,
        long offered,
        double lateShare,
        double refusedShare,
        double failedShare,
        double goodput,
        double goodputShare,
        double retriesShare,
        double hedgesShare,
        double amplification,
        long refusedButRan,
        long runTwice,
        long refusedByLeaving,
        long sentToLeaving,
        double fairnessError) {

    private static final int DECIMAL_PLACES = 6;

    /**
     * Quantiles of the latency in milliseconds.
     *
     * @param p50 median
     * @param p99 99th percentile
     * @param p999 99.9th percentile
     */
    record Latency(double p50, double p99, double p999) {}

    ObjectNode toJson() {
        ObjectNode json = JsonNodeFactory.instance.objectNode();
        json.put("example", scenario.example().label());
        json.put("targets", scenario.targets());
        json.put("entries", scenario.entries());
        json.put("load", scenario.load().label());
        json.put("router", scenario.router().label());
        json.put("without", disabledMechanisms());
        json.put("seed", scenario.seed());
        ObjectNode quantiles = json.putObject("latencyMillis");
        quantiles.put("p50", rounded(latency.p50()));
        quantiles.put("p99", rounded(latency.p99()));
        quantiles.put("p999", rounded(latency.p999()));
        json.put("offered", offered);
        json.put("lateShare", rounded(lateShare));
        json.put("refusedShare", rounded(refusedShare));
        json.put("failedShare", rounded(failedShare));
        json.put("goodput", rounded(goodput));
        json.put("goodputShare", rounded(goodputShare));
        json.put("retriesShare", rounded(retriesShare));
        json.put("hedgesShare", rounded(hedgesShare));
        json.put("amplification", rounded(amplification));
        json.put("refusedButRan", refusedButRan);
        json.put("runTwice", runTwice);
        json.put("refusedByLeaving", refusedByLeaving);
        json.put("sentToLeaving", sentToLeaving);
        json.put("fairnessError", rounded(fairnessError));
        return json;
    }

    /** Returns the main results as one line of text. */
    String toText() {
        return String.format(
                Locale.ROOT,
                "%-15s %-12s p50 %.1f p99 %.1f p999 %.1f ms, late %.4f, refused %.4f, failed %.4f,"
                        + " goodput %.1f/s (%.3f), attempts %.4f, unfair %.4f",
                scenario.load().label(),
                scenario.router().label(),
                latency.p50(),
                latency.p99(),
                latency.p999(),
                lateShare,
                refusedShare,
                failedShare,
                goodput,
                goodputShare,
                amplification,
                fairnessError);
    }

    private String disabledMechanisms() {
        return scenario.disabledMechanisms().stream()
                .sorted()
                .map(Mechanism::label)
                .collect(Collectors.joining(","));
    }

    private static BigDecimal rounded(double value) {
        return BigDecimal.valueOf(value).setScale(DECIMAL_PLACES, RoundingMode.HALF_UP);
    }
}
