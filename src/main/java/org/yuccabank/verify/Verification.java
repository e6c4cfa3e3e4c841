package org.yuccabank.verify;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.LongStream;

/**
 * Runs schedules in parallel and aggregates their results. Schedules share no state, so the result
 * does not depend on their order.
 */
public final class Verification {

    private static final int MAXIMUM_REPORTED_VIOLATIONS = 20;

    private Verification() {}

    /**
     * Aggregated result of schedules.
     *
     * @param schedules number of schedules
     * @param operations number of client operations
     * @param leaders number of terms with a leader
     * @param faults number of injected faults by name
     * @param violationCount total number of violations
     * @param violations the first violations, each with the command line that replays it
     */
    public record Report(
            long schedules,
            long operations,
            long leaders,
            Map<String, Long> faults,
            long violationCount,
            List<Finding> violations) {}

    /**
     * Reported violation.
     *
     * @param property name of the violated property
     * @param seed seed of the schedule
     * @param detail description of the violation
     * @param replay command line that replays the schedule
     */
    public record Finding(String property, long seed, String detail, String replay) {}

    /**
     * Runs schedules with all mechanisms enabled, as in production.
     *
     * @param schedules number of schedules
     * @param firstSeed seed of the first schedule; the others use the consecutive seeds
     * @return the aggregated result
     */
    public static Report run(long schedules, long firstSeed) {
        return run(schedules, firstSeed, VerifyOptions.defaults());
    }

    static Report run(long schedules, long firstSeed, VerifyOptions options) {
        List<Schedule.Outcome> outcomes =
                LongStream.range(firstSeed, firstSeed + schedules)
                        .parallel()
                        .mapToObj(seed -> Schedule.run(seed, options))
                        .toList();
        return aggregate(outcomes);
    }

    private static Report aggregate(List<Schedule.Outcome> outcomes) {
        Map<Fault, Long> faults = new EnumMap<>(Fault.class);
        List<Violation> violations = new ArrayList<>();
        long operations = 0;
        long leaders = 0;
        for (Schedule.Outcome outcome : outcomes) {
            outcome.faultCounts().forEach((fault, count) -> faults.merge(fault, count, Long::sum));
            violations.addAll(outcome.violations());
            operations += outcome.operationCount();
            leaders += outcome.leaderChanges();
        }
        Map<String, Long> faultCounts = new LinkedHashMap<>();
        for (Fault fault : Fault.values()) {
            faultCounts.put(fault.name(), faults.getOrDefault(fault, 0L));
        }
        List<Finding> findings =
                violations.stream()
                        .limit(MAXIMUM_REPORTED_VIOLATIONS)
                        .map(Verification::toFinding)
                        .toList();
        return new Report(
                outcomes.size(), operations, leaders, faultCounts, violations.size(), findings);
    }

    private static Finding toFinding(Violation violation) {
        return new Finding(
                violation.property().name(),
                violation.seed(),
                violation.detail(),
                violation.replayCommand());
    }
}
