package org.yuccabank.bench.routing;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import java.util.Queue;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;
import org.yuccabank.model.AccountId;
import org.yuccabank.model.Resources;
import org.yuccabank.model.TaskId;
import org.yuccabank.policy.quota.FairShareQueue;
import org.yuccabank.policy.quota.QueuedTask;
import org.yuccabank.rules.Quota;

/** Measures decisions per second of the fair share queue with 290 accounts. */
@State(Scope.Thread)
@BenchmarkMode(Mode.Throughput)
@OutputTimeUnit(TimeUnit.SECONDS)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 3, time = 1)
@Fork(1)
public class FairShareQueueBenchmark {

    private static final int ACCOUNTS = 290;

    private static final int RUNNING_TASKS = 6800;

    private static final Resources CAPACITY = Resources.of(14_560_000, 54_600_000, 100);

    /** Number of pending tasks. */
    @Param({"1000", "10000", "100000"})
    public int waiting;

    private final SplittableRandom random = new SplittableRandom(1);
    private final Queue<QueuedTask> running = new ArrayDeque<>();
    private FairShareQueue queue;
    private long number;

    /** Fills the queue. */
    @Setup
    public void fill() {
        Map<AccountId, Quota> quotas = new HashMap<>();
        for (int account = 0; account < ACCOUNTS; account++) {
            quotas.put(AccountId.of("account-" + account), new Quota(CAPACITY, 1 + account % 4));
        }
        queue = FairShareQueue.of(CAPACITY, quotas);
        for (int task = 0; task < waiting + RUNNING_TASKS; task++) {
            queue.submit(newTask());
        }
        for (int task = 0; task < RUNNING_TASKS; task++) {
            startNext();
        }
    }

    private QueuedTask newTask() {
        number++;
        AccountId account = AccountId.of("account-" + random.nextInt(ACCOUNTS));
        Resources request = Resources.of(500 + random.nextInt(2000), 2000, 0);
        return new QueuedTask(TaskId.of("task-" + number), account, request, 0, number);
    }

    private void startNext() {
        QueuedTask task = queue.next().orElseThrow();
        queue.start(task.id());
        running.add(task);
    }

    /** Ends one task, submits another, and selects and starts the next one. */
    @Benchmark
    public int decide() {
        QueuedTask ended = running.remove();
        queue.release(ended.account(), ended.request());
        queue.submit(newTask());
        startNext();
        return queue.waiting();
    }
}
