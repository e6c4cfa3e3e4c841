/** Replicated state of workflows: the configuration of queues, workflows, their tasks and runs. */
package org.yuccabank.state.workflow;
