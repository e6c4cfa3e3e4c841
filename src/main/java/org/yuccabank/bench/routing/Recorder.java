package org.yuccabank.bench.routing;

import org.HdrHistogram.Histogram;
import org.yuccabank.model.Outcome;

/** Records the outcomes reported to callers and the runs on targets. Mutable. */
final class Recorder {

    /** Time after its announcement from which a leaving target must not receive requests. */
    static final long LEAVING_GRACE_MICROS = 2_000_000;

    /** Initial part of a run that is not measured, as entries have no estimates yet. */
    static final long WARM_UP_MICROS = 2_000_000;

    private static final long MAXIMUM_LATENCY_MICROS = 600_000_000;

    private static final int SIGNIFICANT_DIGITS = 3;

    private final RoutingScenario scenario;
    private final Histogram latency = new Histogram(MAXIMUM_LATENCY_MICROS, SIGNIFICANT_DIGITS);
    private final long[] offeredByAccount = new long[RoutingScenario.ACCOUNTS];
    private final long[] servedByAccount = new long[RoutingScenario.ACCOUNTS];
    private long offered;
    private long refused;
    private long admitted;
    private long late;
    private long unknown;
    private long notRun;
    private long onTimeWorkMicros;
    private long onTime;
    private long attempts;
    private long retries;
    private long hedges;
    private long refusedButRan;
    private long runTwice;
    private long sentToLeaving;
    private long refusedByLeaving;

    Recorder(RoutingScenario scenario) {
        this.scenario = scenario;
    }

    private boolean isMeasured(Request request) {
        return request.sentAtMicros() >= WARM_UP_MICROS;
    }

    void offered(Request request) {
        if (isMeasured(request)) {
            offered++;
            offeredByAccount[request.account()] += request.serviceMicros();
        }
    }

    /** Records a request that its entry refused before any dispatch. */
    void refused(Request request) {
        recordOutcome(request, Outcome.NOT_RUN);
        if (isMeasured(request)) {
            refused++;
        }
    }

    void admitted(Request request) {
        if (isMeasured(request)) {
            admitted++;
        }
    }

    void sent(Request request, boolean isRetry, boolean isHedge) {
        if (isMeasured(request)) {
            attempts++;
            retries += isRetry ? 1 : 0;
            hedges += isHedge ? 1 : 0;
        }
    }

    void answered(Request request, boolean isLate, long latencyMicros) {
        recordOutcome(request, Outcome.RAN);
        if (!isMeasured(request)) {
            return;
        }
        latency.recordValue(Math.min(latencyMicros, MAXIMUM_LATENCY_MICROS));
        if (isLate) {
            late++;
        } else {
            onTime++;
            onTimeWorkMicros += request.serviceMicros();
            servedByAccount[request.account()] += request.serviceMicros();
        }
    }

    /** Records a request whose caller receives no answer from a target. */
    void gaveUp(Request request, Outcome outcome) {
        recordOutcome(request, outcome);
        if (isMeasured(request)) {
            unknown += outcome == Outcome.UNKNOWN ? 1 : 0;
            notRun += outcome == Outcome.NOT_RUN ? 1 : 0;
        }
    }

    private void recordOutcome(Request request, Outcome outcome) {
        request.reportOutcome(outcome);
        if (outcome == Outcome.NOT_RUN && request.runCount() > 0) {
            refusedButRan++;
        }
    }

    void runStarted(Request request) {
        request.recordRun();
        if (request.reportedOutcome() == Outcome.NOT_RUN) {
            refusedButRan++;
        }
        if (request.runCount() == 2 && !request.kind().idempotent()) {
            runTwice++;
        }
    }

    void arrivedAtLeaving(long nowMicros) {
        refusedByLeaving++;
        if (nowMicros > scenario.faultStartMicros() + LEAVING_GRACE_MICROS) {
            sentToLeaving++;
        }
    }

    RoutingReport report() {
        double measuredSeconds = (scenario.endMicros() - WARM_UP_MICROS) / 1e6;
        double slotMicros = measuredSeconds * 1e6 * scenario.targets() * RoutingScenario.SLOTS;
        long answered = onTime + late;
        return new RoutingReport(
                scenario,
                new RoutingReport.Latency(
                        millis(latency.getValueAtPercentile(50)),
                        millis(latency.getValueAtPercentile(99)),
                        millis(latency.getValueAtPercentile(99.9))),
                offered,
                share(late, answered),
                share(refused, offered),
                share(notRun + unknown, offered),
                onTime / measuredSeconds,
                onTimeWorkMicros / slotMicros,
                share(retries, admitted),
                share(hedges, admitted),
                admitted == 0 ? 1 : (double) attempts / admitted,
                refusedButRan,
                runTwice,
                refusedByLeaving,
                sentToLeaving,
                Fairness.error(offeredByAccount, servedByAccount));
    }

    private static double millis(long micros) {
        return micros / 1000.0;
    }

    private static double share(long part, long whole) {
        return whole == 0 ? 0 : (double) part / whole;
    }
}
