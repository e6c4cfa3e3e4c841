/**
 * Discrete-event measurement of the routing decisions. Entries run the code of {@code
 * org.yuccabank.policy.routing}; targets, agents, connections and callers are small fakes with a
 * delay each. No network and no operating system is modelled.
 *
 * <p>All times are in microseconds of simulated time unless a name says otherwise. The same seed
 * gives the same result. Confined to one thread.
 */
package org.yuccabank.bench.routing;
