package org.yuccabank.control.workflow;

import org.yuccabank.policy.workflow.WorkerCircuitBreaker;
import org.yuccabank.protocol.generated.WorkerReport;

/**
 * A worker that may get tasks. Immutable.
 *
 * @param report its newest report
 * @param circuitState how many tasks it may get
 */
record AvailableWorker(WorkerReport report, WorkerCircuitBreaker.State circuitState) {}
