package org.yuccabank.policy.workflow;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Random;
import java.util.Set;
import org.testng.annotations.Test;
import org.yuccabank.model.Resources;
import org.yuccabank.policy.workflow.WaitingTask.LoadKind;

/** Tests the policies that order, admit, place and supervise workflow tasks. */
public final class WorkflowPolicyTest {

    private static final Resources CAPACITY = Resources.of(16_000, 64_000, 0);
    private static final Resources TASK = Resources.of(2_000, 1_000, 0);

    private static WorkerCapacity worker(String workerId) {
        return new WorkerCapacity(
                workerId,
                "service",
                "rack",
                Set.of("a", "rack"),
                CAPACITY,
                (serving, bestEffort) -> 0);
    }

    private static WaitingTask.Load load(LoadKind kind) {
        return new WaitingTask.Load(kind, "", TASK.processorMillis());
    }

    private static WaitingTask task(String step, LoadKind kind, int priority, long deadline) {
        return new WaitingTask(
                step,
                0,
                TASK,
                load(kind),
                priority,
                deadline,
                3 * deadline,
                1_000,
                1.0,
                new WaitingTask.Constraints("service", Optional.empty(), Optional.empty(), 0));
    }

    /** Guards against plain tasks that occupy the workers needed by best-effort tasks. */
    @Test
    public void shouldColocatePlainTaskWithServingTasks() {
        WorkerCapacity serving = worker("serving");
        serving.reserve("s", TASK, load(LoadKind.SERVING));
        WorkerCapacity empty = worker("empty");
        WaitingTask plain = task("p", LoadKind.PLAIN, 0, 5_000);
        assertEquals(
                new InterferenceAwareSelector()
                        .select(plain, List.of(empty, serving))
                        .orElseThrow(),
                serving);
    }

    /** Guards against reservations that exceed the capacity of a worker. */
    @Test
    public void shouldAdmitNothingBeyondCapacity() {
        WorkerCapacity worker = worker("a");
        WaitingTask plain = task("p", LoadKind.PLAIN, 0, 5_000);
        for (int count = 0; count < 8; count++) {
            assertTrue(worker.admits(plain));
            worker.reserve("p", TASK, load(LoadKind.PLAIN));
        }
        assertTrue(new InterferenceAwareSelector().select(plain, List.of(worker)).isEmpty());
    }

    /**
     * Guards against tasks that are already late and delay tasks that can still meet their
     * deadline.
     */
    @Test
    public void shouldOrderFeasibleTasksBeforeLateTasks() {
        WaitingTask late = task("late", LoadKind.PLAIN, 0, 1_000);
        WaitingTask inTime = task("in time", LoadKind.PLAIN, 2, 9_000);
        List<WaitingTask> ordered = new FeasibleFirstOrder().order(List.of(late, inTime), 2_000);
        assertEquals(ordered, List.of(inTime, late));
    }

    /** Guards against accepting a backlog that makes all workflows finish too late. */
    @Test
    public void shouldRefuseTaskPastHardDeadlineWithRetryDelay() {
        BacklogAdmission.Backlog full = new BacklogAdmission.Backlog(600, 20);
        assertTrue(BacklogAdmission.retryAfterMillis(full, 5_000, 40_000).isEmpty());
        assertEquals(BacklogAdmission.retryAfterMillis(full, 5_000, 30_000).getAsLong(), 5_000);
    }

    /** Guards against refusing a workflow while the backlog is empty. */
    @Test
    public void shouldAcceptWhenBacklogIsEmpty() {
        BacklogAdmission.Backlog empty = new BacklogAdmission.Backlog(0, 0);
        assertTrue(BacklogAdmission.retryAfterMillis(empty, 9_000, 5_000).isEmpty());
    }

    /** Guards against a worker that fails every task and keeps receiving tasks. */
    @Test
    public void shouldOpenCircuitOfWorkerThatFailsSeveralWorkflows() {
        WorkerCircuitBreaker circuitBreaker = new WorkerCircuitBreaker();
        circuitBreaker.recordFailure("w", "a", 0);
        circuitBreaker.recordFailure("w", "b", 10);
        circuitBreaker.recordFailure("w", "b", 20);
        assertEquals(circuitBreaker.state("w", 100), WorkerCircuitBreaker.State.OPEN);
        assertEquals(circuitBreaker.state("w", 5_000), WorkerCircuitBreaker.State.HALF_OPEN);
        circuitBreaker.recordSuccess("w");
        assertEquals(circuitBreaker.state("w", 5_000), WorkerCircuitBreaker.State.CLOSED);
    }

    private static WorkerCircuitBreaker halfOpenCircuit() {
        WorkerCircuitBreaker circuitBreaker = new WorkerCircuitBreaker();
        circuitBreaker.recordFailure("w", "a", 0);
        circuitBreaker.recordFailure("w", "b", 10);
        circuitBreaker.recordFailure("w", "b", 20);
        assertEquals(circuitBreaker.state("w", 2_000), WorkerCircuitBreaker.State.HALF_OPEN);
        return circuitBreaker;
    }

    /** Guards against a worker that stays excluded because its probe is a task that never ends. */
    @Test
    public void shouldCloseCircuitAfterLastingProbeHasWorkedForAWhile() {
        WorkerCircuitBreaker circuitBreaker = halfOpenCircuit();
        circuitBreaker.recordAssignment("w", "probe");
        assertEquals(circuitBreaker.state("w", 2_000), WorkerCircuitBreaker.State.PROBING);
        for (long now = 2_100; now <= 4_100; now += 500) {
            assertEquals(circuitBreaker.state("w", now), WorkerCircuitBreaker.State.PROBING);
            circuitBreaker.recordActive("w", "probe", 100, true, now);
        }
        assertEquals(circuitBreaker.state("w", 4_100), WorkerCircuitBreaker.State.CLOSED);
    }

    /** Guards against more than one probe at a time, and none after the probe was stopped. */
    @Test
    public void shouldAllowNextProbeOnceProbeIsOver() {
        WorkerCircuitBreaker circuitBreaker = halfOpenCircuit();
        circuitBreaker.recordAssignment("w", "probe");
        circuitBreaker.recordEnd("w", "other");
        assertEquals(circuitBreaker.state("w", 2_000), WorkerCircuitBreaker.State.PROBING);
        circuitBreaker.recordEnd("w", "probe");
        assertEquals(circuitBreaker.state("w", 2_000), WorkerCircuitBreaker.State.HALF_OPEN);
    }

    /** Guards against closing the circuit of a worker on which tasks stand still. */
    @Test
    public void shouldKeepCircuitOpenWhileProbeMakesNoProgress() {
        WorkerCircuitBreaker circuitBreaker = halfOpenCircuit();
        circuitBreaker.recordAssignment("w", "probe");
        for (long now = 2_100; now <= 30_000; now += 500) {
            circuitBreaker.recordActive("w", "probe", 40, false, now);
        }
        assertEquals(circuitBreaker.state("w", 30_000), WorkerCircuitBreaker.State.PROBING);
    }

    /** Guards against taking a run from before the failures for a sign of recovery. */
    @Test
    public void shouldNotCloseCircuitBecauseOfEarlierRun() {
        WorkerCircuitBreaker circuitBreaker = halfOpenCircuit();
        for (long now = 0; now <= 30_000; now += 500) {
            circuitBreaker.recordActive("w", "earlier", 100, true, now);
        }
        assertEquals(circuitBreaker.state("w", 30_000), WorkerCircuitBreaker.State.HALF_OPEN);
    }

    /**
     * Guards against a task that only one worker can run and that waits for long after the recovery
     * of that worker: it has to start within 7 s.
     */
    @Test
    public void shouldProbeRecoveredWorkerInTime() {
        WorkerCircuitBreaker circuitBreaker = new WorkerCircuitBreaker();
        long now = 0;
        for (int failure = 0; failure < 20; failure++) {
            circuitBreaker.recordFailure("w", "workflow " + failure, now);
            while (circuitBreaker.state("w", now) == WorkerCircuitBreaker.State.OPEN) {
                now += 100;
            }
        }
        circuitBreaker.recordFailure("w", "last", now);
        for (long end = now + 7_000; now < end; now += 100) {
            if (circuitBreaker.state("w", now) == WorkerCircuitBreaker.State.HALF_OPEN) {
                circuitBreaker.recordAssignment("w", "probe");
            }
            circuitBreaker.recordActive("w", "probe", 100, true, now);
        }
        assertEquals(circuitBreaker.state("w", now), WorkerCircuitBreaker.State.CLOSED);
    }

    /** Guards against excluding a healthy worker because of one faulty workflow. */
    @Test
    public void shouldKeepCircuitClosedWhenOnlyOneWorkflowFails() {
        WorkerCircuitBreaker circuitBreaker = new WorkerCircuitBreaker();
        for (int count = 0; count < 9; count++) {
            circuitBreaker.recordFailure("w", "hopeless", count);
        }
        assertEquals(circuitBreaker.state("w", 100), WorkerCircuitBreaker.State.CLOSED);
    }

    /** Guards against a task that stalls on a faulty worker until its workflow is late. */
    @Test
    public void shouldDetectStalledRun() {
        RunProgress progress = new RunProgress(1_000);
        for (long now = 0; now <= 2_400; now += 400) {
            progress.report(30, true, now);
        }
        assertEquals(
                progress.assess(false, OptionalDouble.empty()),
                RunProgress.Assessment.STANDS_STILL);
    }

    /** Guards against restarting healthy runs whose estimates are far too low. */
    @Test
    public void shouldKeepRunThatIsAsSlowAsItsPeers() {
        RunProgress progress = new RunProgress(500);
        for (int step = 0; step <= 5; step++) {
            progress.report(3 * step, true, 400L * step);
        }
        assertEquals(
                progress.assess(false, OptionalDouble.of(13_000)), RunProgress.Assessment.KEEP);
        assertEquals(progress.assess(false, OptionalDouble.empty()), RunProgress.Assessment.KEEP);
    }

    /** Guards against an estimate that is distorted by one outlier. */
    @Test
    public void shouldCompareWithMedianOfPeers() {
        RunTimes times = new RunTimes();
        times.recordRunTime("s", "q", 1_000, 500, 3);
        times.recordRunTime("s", "q", 90_000, 500, 3);
        assertTrue(times.medianMillis("s").isEmpty());
        times.recordRunTime("s", "q", 1_100, 500, 3);
        assertEquals(times.medianMillis("s").getAsDouble(), 1_100.0);
        assertEquals(times.expectedMillis("q", "s", 500), 1_100.0);
        for (int step = 0; step < 60; step++) {
            times.recordRunTime("other " + step, "q", 1_050, 500, 1);
        }
        double ratio = times.expectedMillis("q", "unknown", 500) / 500;
        assertTrue(ratio > 1.9 && ratio < 2.3, "" + ratio);
    }

    /**
     * Guards against an order by declared run times that say nothing. On the enlarged third site
     * the run times of steps were 0.15 to 14 times their estimates, independently of each other.
     */
    @Test
    public void shouldTrustDeclaredRunTimesOnlyAsFarAsTheyPredict() {
        RunTimes times = new RunTimes();
        Random random = new Random(3);
        for (int step = 0; step < 40; step++) {
            double actual = 3_000 * Math.exp(0.3 * random.nextGaussian());
            long guessed = Math.round(actual * Math.exp(0.9 * random.nextGaussian()));
            long measured = Math.round(actual * Math.exp(0.05 * random.nextGaussian()));
            times.recordRunTime("guess " + step, "guessed", actual, guessed, 1);
            times.recordRunTime("measure " + step, "measured", actual, measured, 1);
        }
        assertEquals(times.expectedMillis("guessed", "new", 900), 3_000, 1_000);
        assertEquals(times.expectedMillis("guessed", "new", 12_000), 3_000, 1_500);
        assertEquals(times.expectedMillis("measured", "new", 1_500), 1_500, 200);
        assertEquals(times.expectedMillis("measured", "new", 6_000), 6_000, 800);
        assertEquals(times.expectedMillis("empty", "new", 700), 700.0);
    }

    /** Guards against an overload in which many workflows start and few meet their deadlines. */
    @Test
    public void shouldOrderTasksByValueDensity() {
        WaitingTask fresh = taskWithValueDensity("fresh", 1.0);
        WaitingTask nearlyDone = taskWithValueDensity("nearly done", 6.0);
        assertEquals(
                new FeasibleFirstOrder().order(List.of(fresh, nearlyDone), 0),
                List.of(nearlyDone, fresh));
    }

    private static WaitingTask taskWithValueDensity(String step, double valueDensity) {
        return new WaitingTask(
                step,
                0,
                TASK,
                load(LoadKind.BEST_EFFORT),
                2,
                5_000,
                15_000,
                1_000,
                valueDensity,
                new WaitingTask.Constraints("service", Optional.empty(), Optional.empty(), 0));
    }

    /** Guards against restarting runs that are throttled. */
    @Test
    public void shouldKeepThrottledRun() {
        RunProgress progress = new RunProgress(1_000);
        for (long now = 0; now <= 4_000; now += 400) {
            progress.report(30, false, now);
        }
        assertEquals(progress.assess(false, OptionalDouble.empty()), RunProgress.Assessment.KEEP);
    }

    /** Guards against keeping tasks on a worker that became several times slower. */
    @Test
    public void shouldDetectSlowRun() {
        RunProgress progress = new RunProgress(2_000);
        for (int step = 0; step <= 5; step++) {
            progress.report(3 * step, true, 400L * step);
        }
        assertEquals(
                progress.assess(true, OptionalDouble.of(2_000)), RunProgress.Assessment.TOO_SLOW);
    }

    /**
     * Guards against best-effort work that waits for serving tasks which cannot be placed, and
     * against a second wait for the same ones.
     */
    @Test
    public void shouldHoldBestEffortTasksOnlyForSeconds() {
        ServingRecovery recovery = new ServingRecovery();
        assertFalse(recovery.shouldHoldBestEffort(19, 1, 0), "a single task is displaced");
        assertTrue(recovery.shouldHoldBestEffort(10, 10, 100));
        assertTrue(recovery.shouldHoldBestEffort(12, 8, 2_000));
        assertFalse(recovery.shouldHoldBestEffort(12, 8, 2_200));
        assertFalse(recovery.shouldHoldBestEffort(12, 8, 9_000));
        assertFalse(recovery.shouldHoldBestEffort(20, 0, 9_100));
        assertTrue(recovery.shouldHoldBestEffort(0, 20, 20_000), "they are displaced again");
        assertFalse(recovery.shouldHoldBestEffort(0, 0, 30_000), "there are no serving tasks");
    }
}
