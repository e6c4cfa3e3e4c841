/**
 * Discrete-event simulation that measures routing decisions. Entries run the code of {@code
 * org.yuccabank.policy.routing}; targets, agents, connections and callers are simulated with a
 * delay each. Neither a network nor an operating system is modelled.
 *
 * <p>All times are in microseconds of simulated time unless a name says otherwise. Equal seeds give
 * equal results. Confined to one thread.
 */
package org.yuccabank.bench.routing;
