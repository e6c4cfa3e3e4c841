/** The agent of a worker: carries out the leader's directives and reports the actual runs. */
package org.yuccabank.agent.workflow;
