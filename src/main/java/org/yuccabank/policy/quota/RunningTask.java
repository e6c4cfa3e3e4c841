package org.yuccabank.policy.quota;

import java.util.Objects;
import org.yuccabank.model.AccountId;
import org.yuccabank.model.Resources;
import org.yuccabank.model.TaskId;

/**
 * A running batch task that may be preempted for another account. Immutable.
 *
 * @param id the task
 * @param account account of the task
 * @param held resources that it holds
 * @param lostWorkMillis run time since its last checkpoint, which would be lost by stopping it now
 */
public record RunningTask(TaskId id, AccountId account, Resources held, long lostWorkMillis) {

    /** Validates the components. */
    public RunningTask {
        Objects.requireNonNull(id, "id is null");
        Objects.requireNonNull(account, "account is null");
        Objects.requireNonNull(held, "held is null");
    }
}
