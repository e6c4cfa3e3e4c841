package org.yuccabank.policy.quota;

import java.util.Objects;
import org.yuccabank.model.AccountId;
import org.yuccabank.model.Resources;
import org.yuccabank.model.TaskId;

/**
 * A batch task that runs and could be stopped for another account. Immutable.
 *
 * @param id the task
 * @param account whose task it is
 * @param held resources that it holds
 * @param lostWorkMillis run time that stopping it now would lose, since its last checkpoint
 */
public record RunningTask(TaskId id, AccountId account, Resources held, long lostWorkMillis) {

    /** Checks the parts. */
    public RunningTask {
        Objects.requireNonNull(id, "id is null");
        Objects.requireNonNull(account, "account is null");
        Objects.requireNonNull(held, "held is null");
    }
}
