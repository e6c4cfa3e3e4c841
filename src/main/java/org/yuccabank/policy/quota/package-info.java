/**
 * Quotas and fair sharing: the order in which tasks of different accounts are placed, and the
 * preemption of tasks on borrowed resources.
 *
 * <p>The share of an account is its dominant resource share: the largest of its shares of the
 * processors, the memory and the accelerators of the region. Comparisons between accounts divide it
 * by the weight of the account.
 */
package org.yuccabank.policy.quota;
