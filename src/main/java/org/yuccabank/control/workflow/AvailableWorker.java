package org.yuccabank.control.workflow;

import org.yuccabank.policy.workflow.WorkerTrust;
import org.yuccabank.protocol.generated.WorkerReport;

/**
 * A worker that may get tasks. Immutable.
 *
 * @param report its newest report
 * @param standing how many tasks it may get
 */
record AvailableWorker(WorkerReport report, WorkerTrust.Standing standing) {}
