/** Decisions about workflows: order of waiting tasks, placement, admission and pacing. Pure. */
package org.yuccabank.policy.workflow;
