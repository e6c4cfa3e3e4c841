package org.yuccabank.verify;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.stream.LongStream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.yuccabank.replication.Mechanisms;
import org.yuccabank.replication.ReplicaNode;

/** Shows that the schedules find no violation, and that they find one without each mechanism. */
public final class VerificationTest {

    private static final long SCHEDULE_COUNT = 200;
    private static final long MAXIMUM_SEARCHED_SEEDS = 3_000;

    /** Guards against a protocol that breaks a property under faults. */
    @Test
    public void shouldFindNoViolation() {
        Verification.Report report = Verification.run(SCHEDULE_COUNT, 1);
        assertEquals(report.violations(), List.of());
        report.faults().forEach((fault, count) -> assertTrue(count > 0, fault + " never injected"));
    }

    /** Seeds in which a follower stayed behind for ever. */
    @DataProvider
    public Object[][] seedsWithLaggingFollower() {
        return new Object[][] {{1_382L}, {1_919L}};
    }

    /** Guards against a leader that ignores a hint before the follower's match index. */
    @Test(dataProvider = "seedsWithLaggingFollower")
    public void shouldCatchUpEveryFollower(long seed) {
        assertEquals(Verification.run(1, seed).violations(), List.of());
    }

    /** Guards against a group of candidates that elects no leader in a quiet network. */
    @Test
    public void shouldElectLeaderAmongThreeCandidates() {
        assertEquals(Verification.run(1, 6_308).violations(), List.of());
    }

    /** Guards against a larger group of candidates that elects no leader in a quiet network. */
    @Test
    public void shouldElectLeaderAmongFourCandidates() {
        assertEquals(Verification.run(1, 14_750).violations(), List.of());
    }

    /** Guards against schedules that can not be replayed. */
    @Test
    public void shouldReplayScheduleOfSeed() {
        VerifyOptions options = VerifyOptions.defaults();
        for (long seed = 1; seed <= 20; seed++) {
            assertEquals(Schedule.run(seed, options), Schedule.run(seed, options));
        }
    }

    /** Mechanisms of the protocol; the others are covered by ReplicaCoreTest. */
    @DataProvider
    public Object[][] mechanisms() {
        return new Object[][] {
            {"SYNC_BEFORE_ACKNOWLEDGE"},
            {"PRE_VOTE"},
            {"SINGLE_VOTE"},
            {"LOG_COMPLETENESS"},
            {"PREVIOUS_ENTRY_CHECK"},
            {"READ_CONFIRMATION"},
            {"LEARNER_BEFORE_VOTER"},
            {"ONE_CHANGE_AT_A_TIME"}
        };
    }

    /** Guards against checks that do not notice the absence of a mechanism. */
    @Test(dataProvider = "mechanisms")
    public void shouldFindViolationWithout(String mechanism) {
        VerifyOptions options =
                VerifyOptions.defaults()
                        .withNodeFactory(
                                (settings, environment, now) ->
                                        Mechanisms.openWithout(
                                                mechanism, settings, environment, now));
        assertTrue(findsViolation(options), mechanism);
    }

    /** Guards against checks that do not notice commands that run twice. */
    @Test
    public void shouldFindViolationWithoutDuplicateDetection() {
        assertTrue(findsViolation(new VerifyOptions(ReplicaNode::open, false, true, true)));
    }

    /** Guards against checks that do not notice two winners with the same version number. */
    @Test
    public void shouldFindViolationWithoutVersionCheck() {
        assertTrue(findsViolation(new VerifyOptions(ReplicaNode::open, true, false, true)));
    }

    /** Guards against checks that do not notice a lost disk that returns under its identifier. */
    @Test
    public void shouldFindViolationWithoutNewIdAfterDiskLoss() {
        assertTrue(findsViolation(new VerifyOptions(ReplicaNode::open, true, true, false)));
    }

    private static boolean findsViolation(VerifyOptions options) {
        return LongStream.rangeClosed(1, MAXIMUM_SEARCHED_SEEDS)
                .parallel()
                .anyMatch(seed -> !Schedule.run(seed, options).violations().isEmpty());
    }
}
