package org.yuccabank.policy.placement;

import java.util.List;
import java.util.Objects;

/**
 * The hosts available to placement. The view must not change during a decision. Hosts are accessed
 * by index, so that a decision need not read all of them.
 */
public interface ClusterView {

    /**
     * Returns the number of hosts, including those that accept no work.
     *
     * @return the number of hosts
     */
    int size();

    /**
     * Returns the host at a position.
     *
     * @param index position of the host, from 0 to size - 1
     * @return the host
     */
    HostView host(int index);

    /**
     * Returns a view of a list.
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
