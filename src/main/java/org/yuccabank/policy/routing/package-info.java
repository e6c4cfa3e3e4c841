/**
 * Decisions of an entry process about urgent requests: which target, whether to admit, retry or
 * hedge.
 *
 * <p>The classes hold no clock, thread or random source; the present time and random numbers are
 * arguments. Mutable classes are confined to one thread of the entry process.
 */
package org.yuccabank.policy.routing;
