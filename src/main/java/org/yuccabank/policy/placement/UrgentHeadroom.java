package org.yuccabank.policy.placement;

import org.yuccabank.model.Resources;

/** Room that batch work must leave free on a host for urgent starts. */
@FunctionalInterface
public interface UrgentHeadroom {

    /**
     * Room to leave free.
     *
     * @param index position of the host
     * @param hosts number of hosts
     * @return the room
     */
    Resources on(int index, int hosts);

    /**
     * Keeps nothing free.
     *
     * @return the rule
     */
    static UrgentHeadroom none() {
        return (index, hosts) -> Resources.none();
    }
}
