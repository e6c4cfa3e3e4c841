/**
 * Routing, admission, retry and hedging policies of an entry process for urgent requests.
 *
 * <p>The classes use no clock, thread or random source of their own; the current time and the
 * random source are arguments. Mutable classes are confined to one thread of the entry process.
 */
package org.yuccabank.policy.routing;
