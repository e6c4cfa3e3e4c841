package org.yuccabank.policy.quota;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.testng.annotations.Test;
import org.yuccabank.model.AccountId;
import org.yuccabank.model.Resources;
import org.yuccabank.model.TaskId;
import org.yuccabank.rules.Quota;

/** Tests the order of accounts and the preemption of borrowed resources. */
public final class FairShareQueueTest {

    private static final Resources CAPACITY = Resources.of(100_000, 100_000, 10);
    private static final AccountId ONE = AccountId.of("one");
    private static final AccountId OTHER = AccountId.of("other");
    private static final Resources BY_PROCESSOR = Resources.of(5_000, 1_000, 0);
    private static final Resources BY_MEMORY = Resources.of(1_000, 5_000, 0);

    private static QueuedTask task(AccountId account, int number, Resources request) {
        return new QueuedTask(TaskId.of(account + "-" + number), account, request, 0, number);
    }

    private static FairShareQueue queue(Map<AccountId, Quota> quotas, int tasksEach) {
        FairShareQueue queue = FairShareQueue.of(CAPACITY, quotas);
        for (int number = 0; number < tasksEach; number++) {
            queue.submit(task(ONE, number, BY_PROCESSOR));
            queue.submit(task(OTHER, number, BY_MEMORY));
        }
        return queue;
    }

    private static void startAll(FairShareQueue queue, int maximumTasks) {
        for (int started = 0; started < maximumTasks && queue.next().isPresent(); started++) {
            queue.start(queue.next().orElseThrow().id());
        }
    }

    /** Guards against sharing by task count or by a single resource. */
    @Test
    public void shouldEqualiseDominantSharesByWeight() {
        FairShareQueue queue = queue(Map.of(OTHER, new Quota(CAPACITY, 3)), 100);
        startAll(queue, 16);
        assertEquals(queue.allocated(ONE), Resources.of(20_000, 4_000, 0));
        assertEquals(queue.allocated(OTHER), Resources.of(12_000, 60_000, 0));
    }

    /** Guards against an account that exceeds its quota. */
    @Test
    public void shouldNotExceedLimit() {
        FairShareQueue queue = queue(Map.of(ONE, new Quota(BY_PROCESSOR.scaled(2), 1)), 100);
        startAll(queue, 1000);
        assertEquals(queue.allocated(ONE), BY_PROCESSOR.scaled(2));
        assertEquals(queue.waiting(OTHER), 0);
        queue.release(ONE, BY_PROCESSOR);
        assertEquals(queue.next().map(QueuedTask::account), Optional.of(ONE));
    }

    /** Guards against returning a cancelled task, and against losing the account's other tasks. */
    @Test
    public void shouldNotReturnCancelledTasks() {
        FairShareQueue queue = queue(Map.of(), 2);
        assertTrue(queue.cancel(TaskId.of("one-0")).isPresent());
        assertFalse(queue.cancel(TaskId.of("one-0")).isPresent());
        assertEquals(queue.next().map(QueuedTask::id), Optional.of(TaskId.of("one-1")));
        queue.skip(ONE);
        assertEquals(queue.next().map(QueuedTask::account), Optional.of(OTHER));
        queue.resetSkipped();
        queue.cancel(TaskId.of("one-1"));
        queue.cancel(TaskId.of("other-0"));
        queue.cancel(TaskId.of("other-1"));
        assertEquals(queue.next(), Optional.empty());
        assertEquals(queue.waiting(), 0);
    }

    /** Guards against losing more work or tasks than necessary, and against mutual preemption. */
    @Test
    public void shouldPreemptLeastLostWorkWithinBounds() {
        FairShareQueue queue = FairShareQueue.of(CAPACITY, Map.of());
        List<RunningTask> running = new ArrayList<>();
        for (int number = 0; number < 20; number++) {
            queue.allocate(ONE, BY_PROCESSOR);
            running.add(
                    new RunningTask(TaskId.of("one-" + number), ONE, BY_PROCESSOR, 1000 - number));
        }
        PreemptionPolicy policy = BoundedPreemption.of(queue, 2, 1000);
        QueuedTask claimant = task(OTHER, 0, BY_PROCESSOR);
        queue.submit(claimant);
        for (int step = 0; step < 2; step++) {
            List<RunningTask> chosen = policy.choose(claimant, BY_PROCESSOR, running, 0);
            assertEquals(chosen.size(), 1);
            assertEquals(chosen.get(0).lostWorkMillis(), 981 + step);
            running.removeAll(chosen);
        }
        assertEquals(policy.choose(claimant, BY_PROCESSOR, running, 999), List.of());
        assertEquals(policy.choose(claimant, BY_PROCESSOR, running, 1000).size(), 1);
        queue.allocate(OTHER, BY_PROCESSOR.scaled(10));
        assertEquals(policy.choose(claimant, BY_PROCESSOR, running, 5000), List.of());
    }
}
