package org.yuccabank.bench;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import java.util.random.RandomGenerator;
import org.yuccabank.model.JobId;

/** Puts the faults of a load into the event queue. */
final class FaultScript {

    private static final double HOST_SHARE = 0.02;
    private static final long ISOLATION_MILLIS = 25_000;
    private static final double CANCELLED_SHARE = 1.0 / 3;

    private final Fleet fleet;
    private final EventQueue events;
    private final RandomGenerator random;
    private final long durationMillis;

    FaultScript(Fleet fleet, EventQueue events, RandomGenerator random, long durationMillis) {
        this.fleet = fleet;
        this.events = events;
        this.random = random;
        this.durationMillis = durationMillis;
    }

    void schedule(Load load, WorkSource source, BenchScheduler scheduler) {
        List<FakeHost> shuffled = shuffled();
        int count = Math.max(1, (int) (fleet.hosts().size() * HOST_SHARE));
        List<FakeHost> dying = shuffled.subList(0, count);
        List<FakeHost> isolated = shuffled.subList(count, 2 * count);
        List<FakeHost> failing = shuffled.subList(2 * count, 3 * count);
        if (load.hostsLost()) {
            at(0.3, () -> dying.forEach(FakeHost::die));
            at(0.5, () -> isolated.forEach(host -> host.setIsolated(true)));
            events.at(
                    durationMillis / 2 + ISOLATION_MILLIS,
                    () -> isolated.forEach(host -> host.setIsolated(false)));
        }
        if (load.failingHosts()) {
            at(0.25, () -> failing.forEach(host -> host.setFailing(true)));
            at(0.75, () -> failing.forEach(host -> host.setFailing(false)));
        }
        if (load.cancellations()) {
            for (double part : new double[] {0.3, 0.5, 0.7}) {
                at(part, () -> cancel(source, scheduler, (long) (part * durationMillis)));
            }
        }
    }

    private void at(double part, Runnable action) {
        events.at((long) (part * durationMillis), action);
    }

    private List<FakeHost> shuffled() {
        List<FakeHost> hosts = new ArrayList<>(fleet.hosts());
        for (int index = hosts.size() - 1; index > 0; index--) {
            int other = random.nextInt(index + 1);
            FakeHost swapped = hosts.get(index);
            hosts.set(index, hosts.get(other));
            hosts.set(other, swapped);
        }
        return hosts;
    }

    /** Chooses among all submitted jobs, so that the choice does not depend on the policy. */
    private void cancel(WorkSource source, BenchScheduler scheduler, long nowMillis) {
        Map<JobId, List<BenchTask>> tasks = new HashMap<>();
        for (BenchTask task : source.all()) {
            if (!task.urgent()) {
                tasks.computeIfAbsent(task.job, absent -> new ArrayList<>()).add(task);
            }
        }
        for (JobId job : new TreeSet<>(tasks.keySet())) {
            if (random.nextDouble() < CANCELLED_SHARE) {
                tasks.get(job).forEach(task -> task.cancelled = true);
            }
        }
        scheduler.stopCancelled(nowMillis);
    }
}
