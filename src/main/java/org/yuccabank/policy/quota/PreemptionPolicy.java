package org.yuccabank.policy.quota;

import java.util.Collection;
import java.util.List;
import org.yuccabank.model.Resources;

/**
 * Selects batch tasks on borrowed resources to stop, so that another account gets its fair share.
 */
public interface PreemptionPolicy {

    /**
     * Selects tasks to stop. The selected tasks count against the preemption limits, so the caller
     * must stop them.
     *
     * @param claimant the waiting task that could not be placed
     * @param shortfall resources that the host lacks for it; sufficient resources are 0 or negative
     * @param running batch tasks that run on the host
     * @param nowMillis the current time
     * @return the tasks to stop, empty if preemption is not justified or would not suffice
     */
    List<RunningTask> choose(
            QueuedTask claimant,
            Resources shortfall,
            Collection<RunningTask> running,
            long nowMillis);
}
