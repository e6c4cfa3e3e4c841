package org.yuccabank.policy.placement;

import org.yuccabank.model.Resources;

/** Resources that batch work must leave free on a host for urgent tasks. */
@FunctionalInterface
public interface UrgentHeadroom {

    /**
     * Returns the resources to leave free on a host.
     *
     * @param index position of the host
     * @param hosts number of hosts
     * @return the resources
     */
    Resources on(int index, int hosts);

    /**
     * Returns a rule that leaves nothing free.
     *
     * @return the rule
     */
    static UrgentHeadroom none() {
        return (index, hosts) -> Resources.none();
    }
}
