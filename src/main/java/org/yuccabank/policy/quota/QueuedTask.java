package org.yuccabank.policy.quota;

import java.util.Comparator;
import java.util.Objects;
import org.yuccabank.model.AccountId;
import org.yuccabank.model.Resources;
import org.yuccabank.model.TaskId;

/**
 * A task that waits for placement. Immutable.
 *
 * @param id the task
 * @param account account of the task
 * @param request resources that it needs
 * @param priority priority among the tasks of its account, higher first
 * @param submittedMillis time at which its job was accepted; kept if the task is stopped and queued
 *     again
 */
public record QueuedTask(
        TaskId id, AccountId account, Resources request, int priority, long submittedMillis) {

    /** Orders the tasks of an account by priority, then by age, then by identifier. */
    static final Comparator<QueuedTask> ORDER =
            Comparator.comparingInt(QueuedTask::priority)
                    .reversed()
                    .thenComparingLong(QueuedTask::submittedMillis)
                    .thenComparing(QueuedTask::id);

    /** Validates the components. */
    public QueuedTask {
        Objects.requireNonNull(id, "id is null");
        Objects.requireNonNull(account, "account is null");
        Objects.requireNonNull(request, "request is null");
    }
}
