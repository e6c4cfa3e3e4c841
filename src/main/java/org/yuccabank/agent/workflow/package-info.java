/** The agent that carries out the leader's directives at a worker and reports the worker's runs. */
package org.yuccabank.agent.workflow;
