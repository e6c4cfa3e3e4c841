package org.yuccabank.policy.quota;

import java.util.Comparator;
import java.util.Objects;
import org.yuccabank.model.AccountId;
import org.yuccabank.model.Resources;
import org.yuccabank.model.TaskId;

/**
 * A task that waits for a place. Immutable.
 *
 * @param id the task
 * @param account whose task it is
 * @param request resources that it needs
 * @param priority order among the tasks of its account, greater first
 * @param submittedMillis when its job was accepted; a task that was stopped keeps its old time
 */
public record QueuedTask(
        TaskId id, AccountId account, Resources request, int priority, long submittedMillis) {

    /** Order within an account: priority, then age, then identifier. */
    static final Comparator<QueuedTask> ORDER =
            Comparator.comparingInt(QueuedTask::priority)
                    .reversed()
                    .thenComparingLong(QueuedTask::submittedMillis)
                    .thenComparing(QueuedTask::id);

    /** Checks the parts. */
    public QueuedTask {
        Objects.requireNonNull(id, "id is null");
        Objects.requireNonNull(account, "account is null");
        Objects.requireNonNull(request, "request is null");
    }
}
