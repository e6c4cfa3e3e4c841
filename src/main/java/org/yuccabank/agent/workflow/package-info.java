/** The agent beside a worker: carries out the leader's orders and reports what truly runs. */
package org.yuccabank.agent.workflow;
