package org.yuccabank.bench.routing;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.EnumSet;
import java.util.Set;
import java.util.stream.Stream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Checks the bounds of the design page with 11 targets and 3 entries on fixed seeds. */
public final class RoutingRegressionTest {

    private static final long SEED = 101;

    private static final int DURATION_SECONDS = 30;

    private static RoutingReport run(
            Example example, Load load, RouterKind router, Mechanism... without) {
        return RoutingSimulation.run(
                new RoutingScenario(
                        example, 11, 3, load, router, Set.of(without), DURATION_SECONDS, SEED));
    }

    private static RoutingReport run(Load load, Mechanism... without) {
        return run(Example.TAZZART, load, RouterKind.TWO_CHOICES, without);
    }

    /** Provides both examples. */
    @DataProvider
    public static Object[][] examples() {
        return new Object[][] {{Example.TAZZART}, {Example.FERRAGLIA}};
    }

    /** Provides every load of both examples. */
    @DataProvider
    public static Object[][] loads() {
        return EnumSet.allOf(Load.class).stream()
                .flatMap(
                        load ->
                                Stream.of(Example.values())
                                        .map(example -> new Object[] {example, load}))
                .toArray(Object[][]::new);
    }

    /**
     * Guards against queues that better routing would avoid: p99 must stay within 1.15 times that
     * of the oracle.
     */
    @Test(dataProvider = "examples")
    public void shouldStayNearOracleUnderSteadyLoad(Example example) {
        double actual = run(example, Load.STEADY, RouterKind.TWO_CHOICES).latency().p99();
        double oracle = run(example, Load.STEADY, RouterKind.ORACLE).latency().p99();
        assertTrue(actual <= 1.15 * oracle, actual + " against " + oracle);
    }

    /** Guards against stale reports that make all entries select the same target. */
    @Test(dataProvider = "examples")
    public void shouldBeatEveryBaselineUnderShift(Example example) {
        double actual = run(example, Load.SHIFT, RouterKind.TWO_CHOICES).latency().p99();
        for (RouterKind router :
                Set.of(RouterKind.RANDOM, RouterKind.ROUND_ROBIN, RouterKind.LEAST_LOADED)) {
            assertTrue(actual < run(example, Load.SHIFT, router).latency().p99(), router.label());
        }
    }

    /** Guards against admitted requests that miss their deadline, and against shedding too much. */
    @Test(dataProvider = "examples")
    public void shouldKeepDeadlinesAndGoodputUnderOverload(Example example) {
        RoutingReport report = run(example, Load.OVERLOAD, RouterKind.TWO_CHOICES);
        assertTrue(report.lateShare() < 0.01, "late " + report.lateShare());
        assertTrue(report.failedShare() < 0.01, "failed " + report.failedShare());
        assertTrue(report.goodputShare() >= 0.9, "goodput " + report.goodputShare());
    }

    /** Guards against one account that takes the share of the others under overload. */
    @Test(dataProvider = "examples")
    public void shouldDivideOverloadFairly(Example example) {
        RoutingReport report = run(example, Load.OVERLOAD, RouterKind.TWO_CHOICES);
        assertTrue(report.fairnessError() < 0.05, "unfair " + report.fairnessError());
    }

    /**
     * Guards against false "not run" outcomes, duplicate runs, requests to leaving targets and
     * retry storms.
     */
    @Test(dataProvider = "loads")
    public void shouldKeepExecutionGuarantees(Example example, Load load) {
        RoutingReport report = run(example, load, RouterKind.TWO_CHOICES);
        assertEquals(report.refusedButRan(), 0, "requests that ran although reported as not run");
        assertEquals(report.runTwice(), 0, "at-most-once requests that ran more than once");
        assertEquals(
                report.sentToLeaving(),
                0,
                "requests sent to a leaving target later than 2 s after its announcement");
        assertTrue(report.retriesShare() <= 0.1, "retries " + report.retriesShare());
    }

    /** Guards against retries that amplify the overload that causes them. */
    @Test
    public void shouldBoundRetriesWhenTargetsRefuse() {
        RoutingReport report = run(Load.OVERLOAD, Mechanism.ADMISSION);
        assertTrue(report.retriesShare() <= 0.1, "retries " + report.retriesShare());
    }

    /** Guards against a failing target that attracts requests because it answers immediately. */
    @Test
    public void shouldExcludeFailingTarget() {
        assertTrue(run(Load.FAILING_TARGET).failedShare() < 0.001);
    }

    /** Guards against requests that wait for a silent target until its connection closes. */
    @Test
    public void shouldHideSilentTargetFromTail() {
        double silent = run(Load.SILENT_TARGET).latency().p99();
        double steady = run(Load.STEADY).latency().p99();
        assertTrue(silent <= 1.15 * steady, silent + " against " + steady);
    }

    /** Guards against a slow target that keeps receiving its normal share of requests. */
    @Test
    public void shouldHideSlowTargetFromTail() {
        double slow = run(Load.SLOW_TARGET).latency().p999();
        double steady = run(Load.STEADY).latency().p999();
        assertTrue(slow <= 1.15 * steady, slow + " against " + steady);
    }

    /** Guards against nondeterminism from unseeded randomness or the real clock. */
    @Test
    public void shouldRepeatByteForByte() {
        assertEquals(
                run(Load.SILENT_TARGET).toJson().toString(),
                run(Load.SILENT_TARGET).toJson().toString());
    }

    /** Guards against idle shares that are not lent, or not reclaimed when their owner returns. */
    @Test
    public void shouldReturnBorrowedSharesAtManyAccounts() {
        QuotaSimulation.Statistics with = QuotaSimulation.run(290, 200, true, SEED);
        QuotaSimulation.Statistics without = QuotaSimulation.run(290, 200, false, SEED);
        assertTrue(with.steadyError() < 0.1, "steady " + with.steadyError());
        assertTrue(
                with.returnError() < 0.75 * without.returnError(),
                with.returnError() + " against " + without.returnError());
    }
}
