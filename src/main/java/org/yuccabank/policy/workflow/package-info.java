/**
 * Policies for workflows: ordering of waiting tasks, placement, admission and throttling. They
 * perform no I/O.
 */
package org.yuccabank.policy.workflow;
