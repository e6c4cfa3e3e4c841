package org.yuccabank.verify;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.stream.LongStream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.yuccabank.control.workflow.TestVoterPolicies;
import org.yuccabank.replication.ReplicaNode;
import org.yuccabank.replication.TestReplicaNodes;

/**
 * Tests that a group which loses the tolerated number of disks while all other hosts lose power
 * keeps what it confirmed and recovers, and that the checks notice a missing mechanism.
 */
public final class FinalFaultTest {

    private static final long SCHEDULE_COUNT = 200;
    private static final long MAXIMUM_SEARCHED_SEEDS = 400;

    private static List<Violation> violations(long seed, VerifyOptions options) {
        return FinalFaultSchedule.run(seed, options, TestVoterPolicies::proposeNext).violations();
    }

    /** Guards against a lost confirmation and a group that does not recover. */
    @Test
    public void shouldKeepConfirmationsAndRecover() {
        List<Violation> violations =
                LongStream.rangeClosed(1, SCHEDULE_COUNT)
                        .parallel()
                        .mapToObj(seed -> violations(seed, VerifyOptions.defaults()))
                        .flatMap(List::stream)
                        .toList();
        assertEquals(violations, List.of());
    }

    /** Seeds with which a replica once took a torn write before a complete one for corruption. */
    @DataProvider
    public Object[][] seedsWithTornWrite() {
        return new Object[][] {{108L}, {1_814L}, {1_830L}};
    }

    /** Guards against a replica that does not start again after a loss of power. */
    @Test(dataProvider = "seedsWithTornWrite")
    public void shouldStartAfterTornWrite(long seed) {
        assertEquals(violations(seed, VerifyOptions.defaults()), List.of());
    }

    /**
     * Guards against a group that ends because a voter was demoted by a change that its leader
     * could not commit.
     */
    @Test
    public void shouldRecoverAfterLossOfMajorityBeforeDemotion() {
        assertEquals(violations(1_554, VerifyOptions.defaults()), List.of());
    }

    /** Guards against a lost disk that keeps its vote while a live voter loses it. */
    @Test
    public void shouldRecoverAfterDiskLossWhileAnotherVoterWasSilentForLonger() {
        assertEquals(violations(11_287, VerifyOptions.defaults()), List.of());
    }

    /**
     * Guards against a host that is gone for good and keeps its vote while a voter whose host
     * accepts connections loses it.
     */
    @Test
    public void shouldRecoverAfterReplacementWhileAnotherVoterDoesNotAnswer() {
        assertEquals(violations(21_107, VerifyOptions.defaults()), List.of());
    }

    /** Guards against schedules that cannot be replayed from their seed. */
    @Test
    public void shouldReplayScheduleOfSeed() {
        for (long seed = 1; seed <= 5; seed++) {
            assertEquals(
                    FinalFaultSchedule.run(
                            seed, VerifyOptions.defaults(), TestVoterPolicies::proposeNext),
                    FinalFaultSchedule.run(
                            seed, VerifyOptions.defaults(), TestVoterPolicies::proposeNext));
        }
    }

    /** Provides mechanisms that keep confirmations when power or disks are lost. */
    @DataProvider
    public Object[][] mechanisms() {
        return new Object[][] {
            {"SYNC_BEFORE_ACKNOWLEDGE"}, {"LOG_COMPLETENESS"}, {"PREVIOUS_ENTRY_CHECK"}
        };
    }

    /** Guards against checks that do not detect a missing mechanism. */
    @Test(dataProvider = "mechanisms")
    public void shouldFindViolationWithout(String mechanism) {
        assertTrue(
                findsViolation(
                        VerifyOptions.defaults()
                                .withNodeFactory(
                                        (settings, environment, now) ->
                                                TestReplicaNodes.openWithout(
                                                        mechanism, settings, environment, now))),
                mechanism);
    }

    /** Guards against checks that do not detect a replica that rejoins with an empty disk. */
    @Test
    public void shouldFindViolationWithoutNewIdAfterDiskLoss() {
        assertTrue(findsViolation(new VerifyOptions(ReplicaNode::open, true, true, false)));
    }

    /** Guards against checks that do not detect a group whose lost voters keep their votes. */
    @Test
    public void shouldFindViolationWithoutReplacementOfLostVoters() {
        boolean found =
                LongStream.rangeClosed(1, MAXIMUM_SEARCHED_SEEDS)
                        .parallel()
                        .mapToObj(
                                seed ->
                                        FinalFaultSchedule.run(
                                                seed,
                                                VerifyOptions.defaults(),
                                                (voters, leader, now, callback) -> false))
                        .flatMap(outcome -> outcome.violations().stream())
                        .anyMatch(each -> each.property() == Violation.Property.PROGRESS);
        assertTrue(found);
    }

    private static boolean findsViolation(VerifyOptions options) {
        return LongStream.rangeClosed(1, MAXIMUM_SEARCHED_SEEDS)
                .parallel()
                .anyMatch(seed -> !violations(seed, options).isEmpty());
    }
}
