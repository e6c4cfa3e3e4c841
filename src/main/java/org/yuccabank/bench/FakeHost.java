package org.yuccabank.bench;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import org.yuccabank.bench.FakeExecution.End;
import org.yuccabank.bench.FakeExecution.Phase;
import org.yuccabank.model.Resources;
import org.yuccabank.policy.eviction.GradualProtection;

/**
 * A host as the platform provides it: a capacity vector, tasks under leases, a service instance and
 * a report every second. It enforces the limit of each lease, as workers do, and counts what truly
 * ran. Not thread-safe.
 */
final class FakeHost {

    /** Tasks of a host that failed to hear from the control role stop after the lease. */
    static final long LEASE_MILLIS = 10_000;

    private static final long STOP_MILLIS = 300;
    private static final long FAIL_AFTER_MILLIS = 500;

    private final int index;
    private final Example example;
    private final Resources capacity;
    private final FakeInstance instance = new FakeInstance();
    private final RunTotals totals;
    private final List<FakeExecution> executions = new ArrayList<>();
    private final List<HostReport.Ended> ended = new ArrayList<>();
    private final Deque<Measured> measurements = new ArrayDeque<>();
    private final double[] coresByKind;
    private double load;
    private boolean dead;
    private boolean isolated;
    private boolean failing;
    private long lastAnswerMillis;

    /** Usage of a past second. */
    private record Measured(long atMillis, FakeInstance.Window window) {}

    FakeHost(int index, Example example, Resources capacity, RunTotals totals) {
        this.index = index;
        this.example = example;
        this.capacity = capacity;
        this.totals = totals;
        this.coresByKind = new double[example.kinds().size()];
    }

    FakeInstance instance() {
        return instance;
    }

    Resources capacity() {
        return capacity;
    }

    boolean isReachable() {
        return !dead && !isolated;
    }

    void die() {
        dead = true;
        instance.setLost();
        for (FakeExecution execution : executions) {
            lose(execution, execution.task.savedMillis);
            end(execution, End.STOPPED);
        }
        executions.clear();
    }

    void setIsolated(boolean newIsolated) {
        isolated = newIsolated;
    }

    void setFailing(boolean newFailing) {
        failing = newFailing;
    }

    void answered(long nowMillis) {
        lastAnswerMillis = nowMillis;
    }

    /** Present true slowdown of the service instance; only the oracle may ask. */
    double trueSlowdown() {
        return example.slowdown()
                .slowdown(Example.SERVICE, coresByKind, coresByKind[Example.SERVICE], load);
    }

    void start(FakeExecution execution) {
        executions.add(execution);
        BenchTask task = execution.task;
        task.executions++;
        if (task.executions > 1) {
            totals.doubleRuns++;
        }
    }

    void throttle(long token, boolean throttled) {
        find(token).ifPresent(execution -> execution.throttled = throttled);
    }

    void checkpointAndStop(long token, long nowMillis) {
        find(token)
                .filter(execution -> execution.phase == Phase.RUNNING)
                .ifPresentOrElse(
                        execution -> {
                            execution.stopAfterCheckpoint = true;
                            beginCheckpoint(execution, nowMillis);
                        },
                        () -> stop(token, nowMillis));
    }

    void stop(long token, long nowMillis) {
        find(token)
                .filter(execution -> execution.phase != Phase.STOPPING)
                .ifPresent(execution -> beginStop(execution, nowMillis));
    }

    private Optional<FakeExecution> find(long token) {
        return executions.stream().filter(execution -> execution.token == token).findFirst();
    }

    private static void beginStop(FakeExecution execution, long nowMillis) {
        execution.phase = Phase.STOPPING;
        execution.phaseUntilMillis = nowMillis + STOP_MILLIS;
    }

    private static void beginCheckpoint(FakeExecution execution, long nowMillis) {
        execution.phase = Phase.CHECKPOINTING;
        execution.phaseUntilMillis = nowMillis + execution.task.profile.checkpointMillis();
    }

    /** Advances every task by one step. */
    void tick(long nowMillis, long stepMillis) {
        if (dead) {
            return;
        }
        if (nowMillis - lastAnswerMillis > LEASE_MILLIS) {
            executions.stream()
                    .filter(execution -> execution.phase != Phase.STOPPING)
                    .forEach(execution -> beginStop(execution, nowMillis));
        }
        measureLoad(nowMillis);
        instance.setSlowdown(trueSlowdown());
        for (FakeExecution execution : executions) {
            advance(execution, nowMillis, stepMillis);
        }
        executions.removeIf(execution -> !execution.occupies());
    }

    private void measureLoad(long nowMillis) {
        Arrays.fill(coresByKind, 0);
        coresByKind[Example.SERVICE] =
                instance.usedCores(
                        (double) nowMillis, example.kinds().get(Example.SERVICE).cores());
        Resources held = Fleet.SERVICE_RESERVATION;
        for (FakeExecution execution : executions) {
            held = held.plus(execution.limit);
            coresByKind[execution.task.kind] +=
                    execution.usedCores(GradualProtection.THROTTLED_SHARE);
        }
        double used = Arrays.stream(coresByKind).sum();
        load = used / (capacity.processorMillis() / 1000.0);
        totals.usedCores += used;
        totals.offeredCores += capacity.processorMillis() / 1000.0;
        if (!held.fitsWithin(capacity) || load > 1 + 1e-9) {
            totals.capacityBreaches++;
        }
    }

    private void advance(FakeExecution execution, long nowMillis, long stepMillis) {
        switch (execution.phase) {
            case STARTING -> {
                if (nowMillis >= execution.phaseUntilMillis) {
                    begin(execution);
                }
            }
            case RUNNING -> run(execution, nowMillis, stepMillis);
            case CHECKPOINTING -> {
                if (nowMillis >= execution.phaseUntilMillis) {
                    completeCheckpoint(execution, nowMillis);
                }
            }
            case STOPPING -> {
                if (nowMillis >= execution.phaseUntilMillis) {
                    lose(execution, execution.task.savedMillis);
                    end(execution, End.STOPPED);
                }
            }
            default -> throw new IllegalStateException("an ended execution was kept");
        }
    }

    private void begin(FakeExecution execution) {
        execution.phase = Phase.RUNNING;
        execution.runningSinceMillis = execution.phaseUntilMillis;
        execution.checkpointAtMillis =
                execution.phaseUntilMillis + execution.checkpointIntervalMillis;
        if (!failing && !execution.task.broken) {
            totals.started(execution.task, execution.phaseUntilMillis);
        }
    }

    private void run(FakeExecution execution, long nowMillis, long stepMillis) {
        BenchTask task = execution.task;
        long ranMillis = nowMillis - execution.runningSinceMillis;
        if ((failing || task.broken) && ranMillis >= FAIL_AFTER_MILLIS) {
            if (task.broken || ranMillis < FAIL_AFTER_MILLIS + 2 * stepMillis) {
                lose(execution, task.savedMillis);
                end(execution, End.FAILED);
                return;
            }
        }
        double used = execution.usedCores(GradualProtection.THROTTLED_SHARE);
        double slowed =
                example.slowdown()
                        .slowdown(task.kind, coresByKind, Math.min(used, task.cores), load);
        execution.progressMillis += stepMillis * (used / task.cores) / slowed;
        execution.peakCores = Math.max(execution.peakCores, used);
        if (execution.usedMemory() > execution.limit.memoryMebibytes()) {
            lose(execution, task.savedMillis);
            end(execution, End.OUT_OF_MEMORY);
        } else if (execution.progressMillis >= task.workMillis) {
            task.finished = true;
            end(execution, End.FINISHED);
        } else if (task.checkpointable() && nowMillis >= execution.checkpointAtMillis) {
            beginCheckpoint(execution, nowMillis);
        }
    }

    private void completeCheckpoint(FakeExecution execution, long nowMillis) {
        execution.task.savedMillis = execution.progressMillis;
        if (execution.stopAfterCheckpoint) {
            beginStop(execution, nowMillis);
        } else {
            execution.phase = Phase.RUNNING;
            execution.checkpointAtMillis = nowMillis + execution.checkpointIntervalMillis;
        }
    }

    private void lose(FakeExecution execution, double savedMillis) {
        if (!execution.task.urgent() && !execution.task.cancelled) {
            totals.lostWorkMillis += execution.progressMillis - savedMillis;
        }
    }

    private void end(FakeExecution execution, End end) {
        execution.phase = Phase.ENDED;
        execution.end = end;
        execution.task.executions--;
        Resources peak =
                Resources.of(
                        (long) (1000 * execution.peakCores),
                        (long) Math.ceil(execution.usedMemory()),
                        execution.limit.accelerators());
        ended.add(new HostReport.Ended(execution.token, end, peak));
    }

    /** Ends a second of measurement and writes the report of the present task states. */
    HostReport report(long nowMillis, long lagMillis, double meanServiceMillis) {
        measurements.addLast(new Measured(nowMillis, instance.takeWindow(1000, meanServiceMillis)));
        while (measurements.size() > 1 && second().atMillis() <= nowMillis - lagMillis) {
            measurements.removeFirst();
        }
        Measured measured = measurements.getFirst();
        List<HostReport.Running> running = new ArrayList<>(executions.size());
        for (FakeExecution execution : executions) {
            running.add(
                    new HostReport.Running(
                            execution.token,
                            execution.phase != Phase.STARTING,
                            execution.usedCores(GradualProtection.THROTTLED_SHARE),
                            execution.progressMillis - execution.task.savedMillis));
        }
        List<HostReport.Ended> newlyEnded = List.copyOf(ended);
        ended.clear();
        FakeInstance.Window window = measured.window();
        return new HostReport(
                index,
                nowMillis,
                running,
                newlyEnded,
                measured.atMillis(),
                window.slowdown(),
                window.utilisation(),
                window.served());
    }

    private Measured second() {
        var iterator = measurements.iterator();
        iterator.next();
        return iterator.next();
    }
}
