package org.yuccabank.control.workflow;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.testng.annotations.Test;
import org.yuccabank.model.FencingToken;
import org.yuccabank.protocol.generated.ActiveRun;
import org.yuccabank.protocol.generated.ImagePressure;
import org.yuccabank.protocol.generated.RunAddress;
import org.yuccabank.protocol.generated.WorkerIdentity;
import org.yuccabank.protocol.generated.WorkerReport;

/** Tests how the leader tracks a worker from reports. */
public final class WorkerViewTest {

    private static final long TERM = 5;
    private static final LeaseBound LEASE = new LeaseBound(9_000, 0.03);

    private static WorkerReport.Builder report(long sequence) {
        return WorkerReport.newBuilder()
                .setHostId("h")
                .setReporterId(7)
                .setSequence(sequence)
                .setKnownTerm(TERM)
                .setWorker(WorkerIdentity.newBuilder().setHostId("h").setBornMillis(1));
    }

    /**
     * Guards against runs of a lost worker that never end because its agent continues to report.
     */
    @Test
    public void shouldEndLeaseOfSilentWorkerWhileAgentReports() {
        WorkerView view = new WorkerView(report(1).build(), TERM);
        view.update(report(1).build(), null, 0, LEASE);
        assertFalse(view.isLeaseExpired(9_000));
        view.update(report(2).setLeaseLeftMillis(4_000).build(), null, 1_000, LEASE);
        view.update(report(3).setLeaseLeftMillis(3_000).build(), null, 2_000, LEASE);
        assertFalse(view.isLeaseExpired(5_000));
        assertTrue(view.isLeaseExpired(5_300));
    }

    /** Guards against a delayed report that shortens a lease renewed in the meantime. */
    @Test
    public void shouldIgnoreReportOutOfOrder() {
        WorkerView view = new WorkerView(report(1).build(), TERM);
        view.update(report(3).build(), null, 2_000, LEASE);
        assertFalse(view.update(report(2).setLeaseLeftMillis(0).build(), null, 2_100, LEASE));
        assertFalse(view.isLeaseExpired(5_000));
        assertTrue(view.update(report(1).setReporterId(8).build(), null, 2_200, LEASE));
    }

    private static WorkerReport ofProcess(long reporterId, long knownNumber) {
        return report(1)
                .setReporterId(reporterId)
                .setKnownNumber(knownNumber)
                .setLeaseLeftMillis(0)
                .build();
    }

    /**
     * Guards against a promise of a killed agent process that arrives after its successor has been
     * granted a new lease, so that the tasks start elsewhere while the worker runs them.
     */
    @Test
    public void shouldNotRelyOnPromiseOfSupersededProcess() {
        WorkerView view = new WorkerView(report(1).build(), TERM);
        view.update(report(1).build(), null, 0, LEASE);
        view.recordSent(1);
        view.update(report(1).setReporterId(8).setKnownTerm(0).build(), null, 1_000, LEASE);
        view.recordSent(2);
        view.update(ofProcess(7, 1), null, 1_100, LEASE);
        assertFalse(view.isLeaseExpired(9_000), "process 8 was granted a lease after this promise");
        view.recordSent(3);
        view.update(ofProcess(8, 2), null, 1_200, LEASE);
        assertFalse(view.isLeaseExpired(9_000), "process 8 may precede process 7");
        view.recordSent(4);
        view.update(ofProcess(8, 4), null, 1_300, LEASE);
        assertTrue(view.isLeaseExpired(1_500), "process 8 knows the answer to process 7");
    }

    /**
     * Guards against a new leader that relies on a promise made to an earlier one, which has
     * granted another lease afterwards.
     */
    @Test
    public void shouldNotRelyOnPromiseOfEarlierTerm() {
        List<WorkerReport> unreliable =
                List.of(
                        report(1).setLeaseLeftMillis(0).setKnownTerm(TERM - 1).build(),
                        report(1).setLeaseLeftMillis(0).clearKnownTerm().build());
        for (WorkerReport report : unreliable) {
            WorkerView view = new WorkerView(report, TERM);
            view.update(report, null, 0, LEASE);
            assertFalse(view.isLeaseExpired(9_000), "known term " + report.getKnownTerm());
        }
    }

    /** Guards against losing the checkpoints of a crashed worker before its runs have ended. */
    @Test
    public void shouldKeepCheckpointsOfPreviousIncarnation() {
        RunAddress run = RunAddress.newBuilder().setAttempt(1).build();
        ActiveRun active = ActiveRun.newBuilder().setRun(run).setCheckpoint("saved").build();
        WorkerView view = new WorkerView(report(1).build(), TERM);
        view.update(report(1).setListed(true).addActive(active).build(), null, 0, LEASE);
        view.update(incarnation(2), null, 4_000, LEASE);
        assertEquals(view.checkpoint(run), "saved");
        view.update(incarnation(3), null, 8_000, LEASE);
        assertEquals(view.checkpoint(run), "");
    }

    /**
     * Guards against calls for a former incarnation that a worker which starts again under its
     * identifier takes for its own, also after a change of leader or an upgrade from tokens that
     * were terms.
     */
    @Test
    public void shouldRaiseFencingTokenWithIncarnationsAndTerms() {
        WorkerView view = new WorkerView(incarnation(1), TERM);
        view.update(incarnation(1), null, 0, LEASE);
        long first = view.fencingToken();
        assertTrue(first > TERM, "higher than the token of an earlier release");
        view.update(incarnation(1), null, 100, LEASE);
        assertEquals(view.fencingToken(), first);
        view.update(incarnation(2), null, 200, LEASE);
        long second = view.fencingToken();
        assertTrue(second > first);
        assertFalse(view.update(incarnation(1), null, 300, LEASE));
        assertEquals(view.fencingToken(), second);
        long interrupted = first;
        for (int interruption = 0; interruption < 5_000; interruption++) {
            interrupted = FencingToken.raise(interrupted, 1);
        }
        assertTrue(interrupted > first && interrupted < second, "raised by the agent");
        long incarnations = 1L << 40;
        assertTrue(FencingToken.of(TERM + 1, 0) > FencingToken.of(TERM, incarnations));
    }

    private static WorkerReport incarnation(long bornMillis) {
        return report(bornMillis)
                .setWorker(WorkerIdentity.newBuilder().setHostId("h").setBornMillis(bornMillis))
                .build();
    }

    private static ImagePressure pressure(double value) {
        return ImagePressure.newBuilder()
                .setServingImage("web")
                .setImage("render")
                .setPressure(value)
                .build();
    }

    /**
     * Guards against directives that repeat every pressure, which made up most of the traffic sent
     * by a leader of 80 workers, and against pressures that an agent never receives because one
     * message was lost.
     */
    @Test
    public void shouldSendChangedPressuresAndResendAllPeriodically() {
        WorkerView view = new WorkerView(report(1).build(), TERM);
        List<ImagePressure> first = List.of(pressure(0.2));
        assertEquals(view.takeUnsentPressures(first, 10_000), first);
        assertEquals(view.takeUnsentPressures(List.of(pressure(0.205)), 10_400), List.of());
        List<ImagePressure> changed = List.of(pressure(0.25));
        assertEquals(view.takeUnsentPressures(changed, 10_800), changed);
        assertEquals(view.takeUnsentPressures(changed, 15_100), changed);
        view.update(report(1).setReporterId(8).build(), null, 15_200, LEASE);
        assertEquals(view.takeUnsentPressures(changed, 15_300), changed);
    }
}
