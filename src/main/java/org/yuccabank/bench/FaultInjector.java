package org.yuccabank.bench;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import java.util.random.RandomGenerator;
import org.yuccabank.model.JobId;

/** Schedules the faults of a load in the event queue. */
final class FaultInjector {

    private static final double AFFECTED_HOST_SHARE = 0.02;
    private static final long ISOLATION_MILLIS = 25_000;
    private static final double CANCELLED_JOB_SHARE = 1.0 / 3;

    private final Fleet fleet;
    private final EventQueue events;
    private final RandomGenerator random;
    private final long durationMillis;

    FaultInjector(Fleet fleet, EventQueue events, RandomGenerator random, long durationMillis) {
        this.fleet = fleet;
        this.events = events;
        this.random = random;
        this.durationMillis = durationMillis;
    }

    void schedule(Load load, WorkloadGenerator workload, BenchScheduler scheduler) {
        List<FakeHost> shuffled = shuffledHosts();
        int affectedCount = Math.max(1, (int) (fleet.hosts().size() * AFFECTED_HOST_SHARE));
        List<FakeHost> crashing = shuffled.subList(0, affectedCount);
        List<FakeHost> isolated = shuffled.subList(affectedCount, 2 * affectedCount);
        List<FakeHost> failing = shuffled.subList(2 * affectedCount, 3 * affectedCount);
        if (load.hostsLost()) {
            scheduleAtFraction(0.3, () -> crashing.forEach(FakeHost::crash));
            scheduleAtFraction(0.5, () -> isolated.forEach(host -> host.setIsolated(true)));
            events.scheduleAt(
                    durationMillis / 2 + ISOLATION_MILLIS,
                    () -> isolated.forEach(host -> host.setIsolated(false)));
        }
        if (load.failingHosts()) {
            scheduleAtFraction(0.25, () -> failing.forEach(host -> host.setFailsAllTasks(true)));
            scheduleAtFraction(0.75, () -> failing.forEach(host -> host.setFailsAllTasks(false)));
        }
        if (load.cancellations()) {
            for (double fraction : new double[] {0.3, 0.5, 0.7}) {
                scheduleAtFraction(
                        fraction,
                        () -> cancelJobs(workload, scheduler, (long) (fraction * durationMillis)));
            }
        }
    }

    private void scheduleAtFraction(double fraction, Runnable action) {
        events.scheduleAt((long) (fraction * durationMillis), action);
    }

    private List<FakeHost> shuffledHosts() {
        List<FakeHost> hosts = new ArrayList<>(fleet.hosts());
        for (int index = hosts.size() - 1; index > 0; index--) {
            int other = random.nextInt(index + 1);
            FakeHost swapped = hosts.get(index);
            hosts.set(index, hosts.get(other));
            hosts.set(other, swapped);
        }
        return hosts;
    }

    /**
     * Cancels a random share of all submitted batch jobs, finished or not, so that the selection
     * does not depend on the policy.
     */
    private void cancelJobs(WorkloadGenerator workload, BenchScheduler scheduler, long nowMillis) {
        Map<JobId, List<BenchTask>> tasksByJob = new HashMap<>();
        for (BenchTask task : workload.submittedTasks()) {
            if (!task.urgent()) {
                tasksByJob.computeIfAbsent(task.job, absent -> new ArrayList<>()).add(task);
            }
        }
        for (JobId job : new TreeSet<>(tasksByJob.keySet())) {
            if (random.nextDouble() < CANCELLED_JOB_SHARE) {
                tasksByJob.get(job).forEach(task -> task.cancelled = true);
            }
        }
        scheduler.stopCancelled(nowMillis);
    }
}
