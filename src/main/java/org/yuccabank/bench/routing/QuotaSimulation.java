package org.yuccabank.bench.routing;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.random.RandomGenerator;
import org.yuccabank.model.AccountId;
import org.yuccabank.model.Resources;
import org.yuccabank.model.TaskId;
import org.yuccabank.policy.quota.BoundedPreemption;
import org.yuccabank.policy.quota.FairShareQueue;
import org.yuccabank.policy.quota.PreemptionPolicy;
import org.yuccabank.policy.quota.QueuedTask;
import org.yuccabank.policy.quota.RunningTask;
import org.yuccabank.rules.Quota;

/**
 * Simulation of batch tasks of many accounts on shared hosts. Half of the accounts have work from
 * the start and borrow the shares of the others, which return after one third of the run. Mutable;
 * runs once.
 */
final class QuotaSimulation {

    private static final Resources HOST_CAPACITY = Resources.of(16_000, 60_000, 1);
    private static final int MAXIMUM_HOST_PROBES = 8;
    private static final int TASKS_PER_ACCOUNT = 400;
    private static final double MEAN_RUN_MICROS = 900e6;
    private static final long CHECKPOINT_INTERVAL_MICROS = 60_000_000;
    private static final long END_MICROS = 3_600_000_000L;
    private static final long RETURN_AT_MICROS = END_MICROS / 3;
    private static final long SAMPLE_INTERVAL_MICROS = 10_000_000;

    private final EventQueue events = new EventQueue();
    private final RandomGenerator random;
    private final List<AccountId> accounts = new ArrayList<>();
    private final Map<AccountId, Quota> quotas = new HashMap<>();
    private final List<Host> hosts = new ArrayList<>();
    private final Map<TaskId, Long> remainingMicros = new HashMap<>();
    private final FairShareQueue queue;
    private final Optional<PreemptionPolicy> preemption;
    private int steadySamples;
    private double steadyError;
    private int returnSamples;
    private double returnError;
    private int preemptions;
    private long lostMicros;

    /**
     * Results of a run.
     *
     * @param steadyError mean share by which accounts fall short of their fair shares, before the
     *     others return
     * @param returnError the same in the ten minutes after the others return
     * @param preemptions tasks that were preempted for another account
     * @param lostSeconds run time that preempted tasks lost
     */
    record Statistics(double steadyError, double returnError, int preemptions, long lostSeconds) {}

    /** A host with its running tasks. */
    private static final class Host {
        private Resources free = HOST_CAPACITY;
        private final Map<TaskId, Execution> running = new LinkedHashMap<>();
    }

    private record Execution(QueuedTask task, long startedMicros) {}

    private QuotaSimulation(int accountCount, int hostCount, boolean preempts, long seed) {
        random = new SplittableRandom(seed);
        for (int number = 0; number < accountCount; number++) {
            AccountId account = AccountId.of("account-" + number);
            accounts.add(account);
            quotas.put(account, new Quota(HOST_CAPACITY.scaled(hostCount), 1 + number % 4));
        }
        for (int number = 0; number < hostCount; number++) {
            hosts.add(new Host());
        }
        queue = FairShareQueue.of(HOST_CAPACITY.scaled(hostCount), quotas);
        preemption =
                preempts
                        ? Optional.of(
                                BoundedPreemption.of(
                                        queue,
                                        BoundedPreemption.DEFAULT_TASKS_PER_INTERVAL,
                                        BoundedPreemption.DEFAULT_INTERVAL_MILLIS))
                        : Optional.empty();
    }

    static Statistics run(int accountCount, int hostCount, boolean preempts, long seed) {
        QuotaSimulation simulation = new QuotaSimulation(accountCount, hostCount, preempts, seed);
        simulation.events.scheduleAt(0, () -> simulation.submitAll(0));
        simulation.events.scheduleAt(RETURN_AT_MICROS, () -> simulation.submitAll(1));
        simulation.events.scheduleAt(SAMPLE_INTERVAL_MICROS, simulation::sample);
        simulation.events.runAll();
        return new Statistics(
                simulation.steadyError / simulation.steadySamples,
                simulation.returnError / simulation.returnSamples,
                simulation.preemptions,
                simulation.lostMicros / 1_000_000);
    }

    private void submitAll(int parity) {
        for (int number = parity; number < accounts.size(); number += 2) {
            for (int task = 0; task < TASKS_PER_ACCOUNT; task++) {
                submit(accounts.get(number), task);
            }
        }
        place();
    }

    private void submit(AccountId account, int number) {
        boolean memoryBound = random.nextInt(3) == 0;
        Resources request =
                memoryBound ? Resources.of(500, 6_000, 0) : Resources.of(2_000, 2_000, 0);
        TaskId id = TaskId.of(account + "/" + number);
        remainingMicros.put(id, (long) (random.nextExponential() * MEAN_RUN_MICROS));
        queue.submit(new QueuedTask(id, account, request, 0, events.nowMillis()));
    }

    private void place() {
        queue.resetSkipped();
        for (Optional<QueuedTask> next = queue.next(); next.isPresent(); next = queue.next()) {
            QueuedTask task = next.get();
            Host host = findHost(task);
            if (host == null) {
                queue.skip(task.account());
            } else {
                start(task, host);
            }
        }
    }

    private Host findHost(QueuedTask task) {
        Host last = null;
        for (int probe = 0; probe < MAXIMUM_HOST_PROBES; probe++) {
            last = hosts.get(random.nextInt(hosts.size()));
            if (task.request().fitsWithin(last.free)) {
                return last;
            }
        }
        return preempt(task, last) ? last : null;
    }

    private boolean preempt(QueuedTask task, Host host) {
        if (preemption.isEmpty()) {
            return false;
        }
        Collection<RunningTask> candidates = new ArrayList<>();
        for (Execution running : host.running.values()) {
            candidates.add(toRunningTask(running));
        }
        Resources shortfall = task.request().minus(host.free);
        List<RunningTask> victims =
                preemption.get().choose(task, shortfall, candidates, events.nowMillis());
        for (RunningTask victim : victims) {
            stop(host, victim);
        }
        return !victims.isEmpty();
    }

    private RunningTask toRunningTask(Execution running) {
        long sinceCheckpoint =
                (events.nowMicros() - running.startedMicros()) % CHECKPOINT_INTERVAL_MICROS;
        QueuedTask task = running.task();
        return new RunningTask(task.id(), task.account(), task.request(), sinceCheckpoint / 1000);
    }

    private void stop(Host host, RunningTask victim) {
        Execution running = host.running.remove(victim.id());
        host.free = host.free.plus(victim.held());
        queue.release(victim.account(), victim.held());
        long lostWorkMicros = victim.lostWorkMillis() * 1000;
        long completedMicros = events.nowMicros() - running.startedMicros() - lostWorkMicros;
        remainingMicros.merge(victim.id(), -completedMicros, Long::sum);
        queue.submit(running.task());
        preemptions++;
        lostMicros += lostWorkMicros;
    }

    private void start(QueuedTask task, Host host) {
        queue.start(task.id());
        Execution running = new Execution(task, events.nowMicros());
        host.running.put(task.id(), running);
        host.free = host.free.minus(task.request());
        events.scheduleAfter(remainingMicros.get(task.id()), () -> finish(host, running));
    }

    private void finish(Host host, Execution running) {
        if (events.nowMicros() >= END_MICROS
                || !host.running.remove(running.task().id(), running)) {
            return;
        }
        host.free = host.free.plus(running.task().request());
        queue.release(running.task().account(), running.task().request());
        place();
    }

    private void sample() {
        long now = events.nowMicros();
        if (now >= END_MICROS) {
            return;
        }
        if (now >= RETURN_AT_MICROS / 2 && now < RETURN_AT_MICROS) {
            steadyError += shareError();
            steadySamples++;
        } else if (now >= RETURN_AT_MICROS && now < RETURN_AT_MICROS + 600_000_000L) {
            returnError += shareError();
            returnSamples++;
        }
        events.scheduleAfter(SAMPLE_INTERVAL_MICROS, this::sample);
    }

    /**
     * Returns the share by which accounts with pending tasks fall short of their weighted fair
     * shares.
     */
    private double shareError() {
        double shares = 0;
        double weights = 0;
        for (AccountId account : accounts) {
            if (queue.waiting(account) > 0) {
                shares += queue.dominantShare(account);
                weights += quotas.get(account).weight();
            }
        }
        double shortfall = 0;
        for (AccountId account : accounts) {
            if (queue.waiting(account) > 0) {
                double fair = shares * quotas.get(account).weight() / weights;
                shortfall += Math.max(0, fair - queue.dominantShare(account));
            }
        }
        return shares == 0 ? 0 : shortfall / shares;
    }
}
