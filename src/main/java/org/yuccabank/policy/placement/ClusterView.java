package org.yuccabank.policy.placement;

import java.util.List;
import java.util.Objects;

/**
 * The hosts that placement chooses from. An implementation must not change during a decision; a
 * decision takes one host at a time, so that its cost does not depend on the number of hosts.
 */
public interface ClusterView {

    /**
     * Number of hosts, including those that receive no work.
     *
     * @return the number of hosts
     */
    int size();

    /**
     * One host.
     *
     * @param index position of the host, from 0 to size - 1
     * @return the host
     */
    HostView host(int index);

    /**
     * A view of a list.
     *
     * @param hosts the hosts; the list is not copied
     * @return the view
     */
    static ClusterView of(List<HostView> hosts) {
        Objects.requireNonNull(hosts, "hosts is null");
        return new ClusterView() {
            @Override
            public int size() {
                return hosts.size();
            }

            @Override
            public HostView host(int index) {
                return hosts.get(index);
            }
        };
    }
}
