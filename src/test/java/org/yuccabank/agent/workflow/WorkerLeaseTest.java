package org.yuccabank.agent.workflow;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.OptionalLong;
import org.testng.annotations.Test;

/** Tests how long a worker may run tasks without a leader. */
public final class WorkerLeaseTest {

    private static final LeaseDurations DURATIONS = new LeaseDurations(9_000, 5_000, 0);

    private static WorkerLease granted() {
        WorkerLease lease = new WorkerLease(DURATIONS);
        lease.sampleClock(100_000, 1_000);
        lease.markResponsive();
        lease.grant(lease.workerClock(2_000), false);
        return lease;
    }

    /** Guards against a lease that exceeds the horizon of the leader's last answer. */
    @Test
    public void shouldEndLeaseAtHorizonOfLeadersLastAnswer() {
        assertTrue(new WorkerLease(DURATIONS).renew(0).isEmpty());
        WorkerLease lease = granted();
        assertEquals(lease.renew(2_500).orElseThrow(), 106_500);
        lease.sampleClock(107_000, 8_000);
        assertEquals(
                lease.renew(8_000).orElseThrow(),
                110_000,
                "clock of 101,000 at the report plus the horizon of 9,000");
        assertTrue(lease.renew(11_000).isEmpty());
    }

    /**
     * Guards against tasks that are killed after 5 s on a host that is partitioned for less than
     * the horizon.
     */
    @Test
    public void shouldRenewWithinHorizonWithoutLeader() {
        WorkerLease lease = granted();
        for (long now = 2_500; now < 10_000; now += 500) {
            lease.sampleClock(99_000 + now, now);
            long remainingMillis = lease.renew(now).orElseThrow() - (99_000 + now);
            assertTrue(
                    remainingMillis >= Math.min(5_000, 11_000 - now),
                    remainingMillis + " ms left at " + now);
        }
    }

    /** Guards against a lease that is extended by the time for which its host was suspended. */
    @Test
    public void shouldNotGainTimeFromSuspension() {
        WorkerLease lease = granted();
        // The worker's clock advanced by 20 s, which this host's monotonic clock did not count.
        lease.sampleClock(122_000, 3_000);
        assertTrue(lease.renew(3_000).isEmpty());
    }

    /** Guards against tasks of a permanently lost worker that are never restarted elsewhere. */
    @Test
    public void shouldReportWhenUnresponsiveWorkerRunsNothing() {
        WorkerLease lease = granted();
        lease.renew(2_500);
        assertTrue(lease.promiseTimeLeft(2_600).isEmpty(), "the worker answers");
        lease.markUnresponsive();
        assertEquals(lease.promiseTimeLeft(3_500), OptionalLong.of(4_000));
        assertEquals(lease.promiseTimeLeft(9_000), OptionalLong.of(0));
    }

    /** Guards against a run that is restarted elsewhere while the lease of the first is renewed. */
    @Test
    public void shouldKeepPromiseUntilLaterReportIsAnswered() {
        WorkerLease lease = granted();
        lease.renew(2_500);
        lease.markUnresponsive();
        assertTrue(lease.renew(3_000).isEmpty());
        lease.promiseTimeLeft(3_000);
        lease.sampleClock(102_500, 3_500);
        lease.markResponsive();
        assertTrue(lease.renew(3_500).isEmpty(), "the leader relies on the promise");
        lease.grant(lease.workerClock(3_000), true);
        assertTrue(lease.renew(3_600).isEmpty(), "the answered report contained the promise");
        lease.grant(lease.workerClock(3_600), false);
        assertEquals(lease.renew(3_700).orElseThrow(), 107_700);
    }

    /**
     * Guards against reporting a remaining time that ignores a later lease end sent by a previous
     * agent process on this host.
     */
    @Test
    public void shouldReportNoTimeLeftBeforeFullRenewal() {
        WorkerLease lease = new WorkerLease(DURATIONS);
        lease.sampleClock(100_000, 1_000);
        lease.grant(lease.workerClock(1_000), false);
        lease.renew(1_000);
        lease.markUnresponsive();
        assertTrue(lease.promiseTimeLeft(2_000).isEmpty());
    }

    /**
     * Guards against a remaining time that is shorter than the lease of a start that was sent to
     * the previous incarnation, whose clock was far ahead.
     */
    @Test
    public void shouldPromiseNothingSoonAfterReplacementUnderSameIdentifier() {
        for (boolean sameIdentifier : new boolean[] {true, false}) {
            WorkerLease lease = granted();
            lease.reset(2_000, sameIdentifier);
            lease.sampleClock(500, 2_000);
            lease.markResponsive();
            lease.grant(lease.workerClock(2_000), false);
            lease.renew(2_100);
            lease.markUnresponsive();
            assertEquals(lease.promiseTimeLeft(3_000).isEmpty(), sameIdentifier);
            assertEquals(lease.promiseTimeLeft(20_000), OptionalLong.of(0));
        }
    }

    /**
     * Guards against a remaining time that is too short after a long silence of a worker whose
     * clock is slow: its tasks were started elsewhere while it ran them.
     */
    @Test
    public void shouldNotBeAheadOfSlowWorkerClock() {
        double drift = 0.03;
        WorkerLease lease = new WorkerLease(new LeaseDurations(9_000, 8_000, drift));
        lease.sampleClock(100_000, 1_000);
        lease.markResponsive();
        lease.grant(lease.workerClock(1_000), false);
        lease.renew(1_000);
        lease.markUnresponsive();
        for (long now = 1_000; now < 10_000; now += 500) {
            double workerClock = 100_000 + 0.98 * (now - 1_000);
            assertTrue(lease.workerClock(now).orElseThrow() <= workerClock, "at " + now);
            assertTrue(
                    lease.promiseTimeLeft(now).orElseThrow() >= 108_000 - workerClock,
                    "promise at " + now);
        }
    }
}
