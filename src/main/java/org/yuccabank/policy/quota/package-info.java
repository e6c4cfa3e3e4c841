/**
 * Quotas: which account's task is placed next, and which borrowed tasks are stopped so that another
 * account gets its share.
 *
 * <p>Share means dominant resource share: the largest part that an account holds of the processors,
 * the memory or the accelerators of the whole region, divided by the account's weight where
 * accounts are compared.
 */
package org.yuccabank.policy.quota;
