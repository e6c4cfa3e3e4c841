package org.yuccabank.policy.quota;

import java.util.Collection;
import java.util.List;
import org.yuccabank.model.Resources;

/** Chooses borrowed batch tasks to stop, so that another account gets its fair share. */
public interface PreemptionPolicy {

    /**
     * Chooses the tasks. Counts those that it returns against the bounds, so the caller must stop
     * them.
     *
     * @param claimant the waiting task that found no place
     * @param shortfall resources that the host lacks for it; parts that suffice are 0 or negative
     * @param running batch tasks that run on that host
     * @param nowMillis the present time
     * @return the tasks to stop, empty if stopping is not justified or would not suffice
     */
    List<RunningTask> choose(
            QueuedTask claimant,
            Resources shortfall,
            Collection<RunningTask> running,
            long nowMillis);
}
