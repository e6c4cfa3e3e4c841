package org.yuccabank.verify;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.stream.LongStream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.yuccabank.replication.ReplicaNode;
import org.yuccabank.replication.TestReplicaNodes;

/** Tests that schedules find no violation, and that they find one if a mechanism is disabled. */
public final class VerificationTest {

    private static final long SCHEDULE_COUNT = 200;
    private static final long MAXIMUM_SEARCHED_SEEDS = 3_000;

    /** Guards against violations of protocol properties under faults. */
    @Test
    public void shouldFindNoViolation() {
        Verification.Report report = Verification.run(SCHEDULE_COUNT, 1);
        assertEquals(report.violations(), List.of());
        report.faults().forEach((fault, count) -> assertTrue(count > 0, fault + " never injected"));
    }

    /** Guards against a leader that reads its old state after its host was suspended. */
    @Test
    public void shouldFindNoViolationWhileHostsAreSuspended() {
        boolean found =
                LongStream.range(0, SCHEDULE_COUNT)
                        .map(number -> 1 + number * ClockFaultInjector.SEED_INTERVAL)
                        .parallel()
                        .mapToObj(seed -> Schedule.run(seed, VerifyOptions.defaults()))
                        .anyMatch(outcome -> !outcome.violations().isEmpty());
        assertFalse(found);
    }

    /** Seeds with which a follower once lagged behind permanently. */
    @DataProvider
    public Object[][] seedsWithLaggingFollower() {
        return new Object[][] {{1_382L}, {1_919L}};
    }

    /** Guards against a leader that ignores a conflict hint below the follower's match index. */
    @Test(dataProvider = "seedsWithLaggingFollower")
    public void shouldCatchUpEveryFollower(long seed) {
        assertEquals(Verification.run(1, seed).violations(), List.of());
    }

    /** Seeds with which a replica once trusted records whose sync had failed. */
    @DataProvider
    public Object[][] seedsWithFailedSync() {
        return new Object[][] {{15L}, {313L}, {10_152L}, {20_127L}, {30_247L}};
    }

    /** Guards against records that can be read after a failed sync, but are not on the disk. */
    @Test(dataProvider = "seedsWithFailedSync")
    public void shouldNotTrustFailedSync(long seed) {
        assertEquals(Verification.run(1, seed).violations(), List.of());
    }

    /** Guards against three candidates that never elect a leader in a network without faults. */
    @Test
    public void shouldElectLeaderAmongThreeCandidates() {
        assertEquals(Verification.run(1, 6_308).violations(), List.of());
    }

    /** Guards against four candidates that never elect a leader in a network without faults. */
    @Test
    public void shouldElectLeaderAmongFourCandidates() {
        assertEquals(Verification.run(1, 14_750).violations(), List.of());
    }

    /** Guards against schedules that cannot be replayed from their seed. */
    @Test
    public void shouldReplayScheduleOfSeed() {
        VerifyOptions options = VerifyOptions.defaults();
        for (long seed = 1; seed <= 20; seed++) {
            assertEquals(Schedule.run(seed, options), Schedule.run(seed, options));
        }
    }

    /** Provides protocol mechanisms to disable; ReplicaCoreTest covers the others. */
    @DataProvider
    public Object[][] mechanisms() {
        return new Object[][] {
            {"SYNC_BEFORE_ACKNOWLEDGE"},
            {"PRE_VOTE"},
            {"CLOCK_COMPARISON"},
            {"SINGLE_VOTE"},
            {"LOG_COMPLETENESS"},
            {"PREVIOUS_ENTRY_CHECK"},
            {"READ_CONFIRMATION"},
            {"LEARNER_BEFORE_VOTER"},
            {"ONE_CHANGE_AT_A_TIME"}
        };
    }

    /** Guards against checks that do not detect a missing mechanism. */
    @Test(dataProvider = "mechanisms")
    public void shouldFindViolationWithout(String mechanism) {
        VerifyOptions options =
                VerifyOptions.defaults()
                        .withNodeFactory(
                                (settings, environment, now) ->
                                        TestReplicaNodes.openWithout(
                                                mechanism, settings, environment, now));
        assertTrue(findsViolation(options), mechanism);
    }

    /** Guards against checks that do not detect commands applied twice. */
    @Test
    public void shouldFindViolationWithoutDuplicateDetection() {
        assertTrue(findsViolation(new VerifyOptions(ReplicaNode::open, false, true, true)));
    }

    /** Guards against checks that do not detect two accepted changes of the same version. */
    @Test
    public void shouldFindViolationWithoutVersionCheck() {
        assertTrue(findsViolation(new VerifyOptions(ReplicaNode::open, true, false, true)));
    }

    /** Guards against checks that do not detect a replica that rejoins with an empty disk. */
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
