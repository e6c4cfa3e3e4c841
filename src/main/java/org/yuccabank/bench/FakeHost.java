package org.yuccabank.bench;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import org.yuccabank.bench.FakeExecution.EndReason;
import org.yuccabank.bench.FakeExecution.Phase;
import org.yuccabank.model.Resources;
import org.yuccabank.policy.eviction.GradualProtection;

/**
 * Simulated host with a capacity, tasks under leases and a service instance, which reports every
 * second. It enforces the reservation of each lease, as workers do, and counts what actually ran.
 * Not thread-safe.
 */
final class FakeHost {

    /** A host stops its tasks after this time without a renewal by the control role. */
    static final long LEASE_MILLIS = 10_000;

    private static final long STOP_DURATION_MILLIS = 300;
    private static final long FAILURE_DELAY_MILLIS = 500;

    private final int index;
    private final Example example;
    private final Resources capacity;
    private final FakeInstance instance = new FakeInstance();
    private final RunTotals totals;
    private final List<FakeExecution> executions = new ArrayList<>();
    private final List<HostReport.EndedTask> ended = new ArrayList<>();
    private final Deque<Measurement> measurements = new ArrayDeque<>();
    private final double[] usedCoresByKind;
    private double utilisation;
    private boolean crashed;
    private boolean isolated;
    private boolean failsAllTasks;
    private long lastRenewalMillis;

    /** Measurement of the service instance over one second, with its end time. */
    private record Measurement(long atMillis, FakeInstance.Window window) {}

    FakeHost(int index, Example example, Resources capacity, RunTotals totals) {
        this.index = index;
        this.example = example;
        this.capacity = capacity;
        this.totals = totals;
        this.usedCoresByKind = new double[example.kinds().size()];
    }

    FakeInstance instance() {
        return instance;
    }

    Resources capacity() {
        return capacity;
    }

    boolean isReachable() {
        return !crashed && !isolated;
    }

    void crash() {
        crashed = true;
        instance.markLost();
        for (FakeExecution execution : executions) {
            recordLostWork(execution, execution.task.checkpointedMillis);
            endExecution(execution, EndReason.STOPPED);
        }
        executions.clear();
    }

    void setIsolated(boolean newIsolated) {
        isolated = newIsolated;
    }

    void setFailsAllTasks(boolean newFailsAllTasks) {
        failsAllTasks = newFailsAllTasks;
    }

    void renewLeases(long nowMillis) {
        lastRenewalMillis = nowMillis;
    }

    /**
     * Returns the current true slowdown of the service instance. Only the oracle policy may use it.
     */
    double trueSlowdown() {
        return example.slowdown()
                .slowdown(
                        Example.SERVICE_KIND,
                        usedCoresByKind,
                        usedCoresByKind[Example.SERVICE_KIND],
                        utilisation);
    }

    void start(FakeExecution execution) {
        executions.add(execution);
        BenchTask task = execution.task;
        task.activeExecutions++;
        if (task.activeExecutions > 1) {
            totals.doubleRuns++;
        }
    }

    void throttle(long token, boolean throttled) {
        findExecution(token).ifPresent(execution -> execution.throttled = throttled);
    }

    void checkpointAndStop(long token, long nowMillis) {
        findExecution(token)
                .filter(execution -> execution.phase == Phase.RUNNING)
                .ifPresentOrElse(
                        execution -> {
                            execution.stopAfterCheckpoint = true;
                            beginCheckpoint(execution, nowMillis);
                        },
                        () -> stop(token, nowMillis));
    }

    void stop(long token, long nowMillis) {
        findExecution(token)
                .filter(execution -> execution.phase != Phase.STOPPING)
                .ifPresent(execution -> beginStop(execution, nowMillis));
    }

    private Optional<FakeExecution> findExecution(long token) {
        return executions.stream().filter(execution -> execution.token == token).findFirst();
    }

    private static void beginStop(FakeExecution execution, long nowMillis) {
        execution.phase = Phase.STOPPING;
        execution.phaseEndMillis = nowMillis + STOP_DURATION_MILLIS;
    }

    private static void beginCheckpoint(FakeExecution execution, long nowMillis) {
        execution.phase = Phase.CHECKPOINTING;
        execution.phaseEndMillis = nowMillis + execution.task.profile.checkpointDurationMillis();
    }

    /** Advances all tasks by one step. */
    void tick(long nowMillis, long stepMillis) {
        if (crashed) {
            return;
        }
        if (nowMillis - lastRenewalMillis > LEASE_MILLIS) {
            executions.stream()
                    .filter(execution -> execution.phase != Phase.STOPPING)
                    .forEach(execution -> beginStop(execution, nowMillis));
        }
        measureUtilisation(nowMillis);
        instance.setSlowdown(trueSlowdown());
        for (FakeExecution execution : executions) {
            advance(execution, nowMillis, stepMillis);
        }
        executions.removeIf(execution -> !execution.holdsResources());
    }

    private void measureUtilisation(long nowMillis) {
        Arrays.fill(usedCoresByKind, 0);
        usedCoresByKind[Example.SERVICE_KIND] =
                instance.usedCores(
                        (double) nowMillis, example.kinds().get(Example.SERVICE_KIND).meanCores());
        Resources reserved = Fleet.SERVICE_RESERVATION;
        for (FakeExecution execution : executions) {
            reserved = reserved.plus(execution.reservation);
            usedCoresByKind[execution.task.kind] +=
                    execution.usedCores(GradualProtection.THROTTLED_SHARE);
        }
        double used = Arrays.stream(usedCoresByKind).sum();
        utilisation = used / (capacity.processorMillis() / 1000.0);
        totals.usedCoresSum += used;
        totals.capacityCoresSum += capacity.processorMillis() / 1000.0;
        if (!reserved.fitsWithin(capacity) || utilisation > 1 + 1e-9) {
            totals.capacityBreaches++;
        }
    }

    private void advance(FakeExecution execution, long nowMillis, long stepMillis) {
        switch (execution.phase) {
            case STARTING -> {
                if (nowMillis >= execution.phaseEndMillis) {
                    beginRunning(execution);
                }
            }
            case RUNNING -> advanceRunning(execution, nowMillis, stepMillis);
            case CHECKPOINTING -> {
                if (nowMillis >= execution.phaseEndMillis) {
                    completeCheckpoint(execution, nowMillis);
                }
            }
            case STOPPING -> {
                if (nowMillis >= execution.phaseEndMillis) {
                    recordLostWork(execution, execution.task.checkpointedMillis);
                    endExecution(execution, EndReason.STOPPED);
                }
            }
            default -> throw new IllegalStateException("ended execution was not removed");
        }
    }

    private void beginRunning(FakeExecution execution) {
        execution.phase = Phase.RUNNING;
        execution.runningSinceMillis = execution.phaseEndMillis;
        execution.nextCheckpointMillis =
                execution.phaseEndMillis + execution.checkpointIntervalMillis;
        if (!failsAllTasks && !execution.task.alwaysFails) {
            totals.recordStart(execution.task, execution.phaseEndMillis);
        }
    }

    private void advanceRunning(FakeExecution execution, long nowMillis, long stepMillis) {
        BenchTask task = execution.task;
        long runMillis = nowMillis - execution.runningSinceMillis;
        if ((failsAllTasks || task.alwaysFails) && runMillis >= FAILURE_DELAY_MILLIS) {
            if (task.alwaysFails || runMillis < FAILURE_DELAY_MILLIS + 2 * stepMillis) {
                recordLostWork(execution, task.checkpointedMillis);
                endExecution(execution, EndReason.FAILED);
                return;
            }
        }
        double used = execution.usedCores(GradualProtection.THROTTLED_SHARE);
        double slowdown =
                example.slowdown()
                        .slowdown(
                                task.kind,
                                usedCoresByKind,
                                Math.min(used, task.cores),
                                utilisation);
        execution.progressMillis += stepMillis * (used / task.cores) / slowdown;
        execution.peakCores = Math.max(execution.peakCores, used);
        if (execution.usedMemoryMebibytes() > execution.reservation.memoryMebibytes()) {
            recordLostWork(execution, task.checkpointedMillis);
            endExecution(execution, EndReason.OUT_OF_MEMORY);
        } else if (execution.progressMillis >= task.workMillis) {
            task.finished = true;
            endExecution(execution, EndReason.FINISHED);
        } else if (task.checkpointable() && nowMillis >= execution.nextCheckpointMillis) {
            beginCheckpoint(execution, nowMillis);
        }
    }

    private void completeCheckpoint(FakeExecution execution, long nowMillis) {
        execution.task.checkpointedMillis = execution.progressMillis;
        if (execution.stopAfterCheckpoint) {
            beginStop(execution, nowMillis);
        } else {
            execution.phase = Phase.RUNNING;
            execution.nextCheckpointMillis = nowMillis + execution.checkpointIntervalMillis;
        }
    }

    private void recordLostWork(FakeExecution execution, double savedMillis) {
        if (!execution.task.urgent() && !execution.task.cancelled) {
            totals.lostWorkMillis += execution.progressMillis - savedMillis;
        }
    }

    private void endExecution(FakeExecution execution, EndReason reason) {
        execution.phase = Phase.ENDED;
        execution.endReason = reason;
        execution.task.activeExecutions--;
        Resources peak =
                Resources.of(
                        (long) (1000 * execution.peakCores),
                        (long) Math.ceil(execution.usedMemoryMebibytes()),
                        execution.reservation.accelerators());
        ended.add(new HostReport.EndedTask(execution.token, reason, peak));
    }

    /** Ends the current measurement and returns a report with the current task states. */
    HostReport takeReport(long nowMillis, long lagMillis, double meanServiceMillis) {
        measurements.addLast(
                new Measurement(nowMillis, instance.takeWindow(1000, meanServiceMillis)));
        while (measurements.size() > 1 && secondMeasurement().atMillis() <= nowMillis - lagMillis) {
            measurements.removeFirst();
        }
        Measurement measurement = measurements.getFirst();
        List<HostReport.RunningTask> running = new ArrayList<>(executions.size());
        for (FakeExecution execution : executions) {
            running.add(
                    new HostReport.RunningTask(
                            execution.token,
                            execution.phase != Phase.STARTING,
                            execution.usedCores(GradualProtection.THROTTLED_SHARE),
                            execution.progressMillis - execution.task.checkpointedMillis));
        }
        List<HostReport.EndedTask> newlyEnded = List.copyOf(ended);
        ended.clear();
        FakeInstance.Window window = measurement.window();
        return new HostReport(
                index,
                nowMillis,
                running,
                newlyEnded,
                measurement.atMillis(),
                window.slowdown(),
                window.utilisation(),
                window.served());
    }

    private Measurement secondMeasurement() {
        var iterator = measurements.iterator();
        iterator.next();
        return iterator.next();
    }
}
