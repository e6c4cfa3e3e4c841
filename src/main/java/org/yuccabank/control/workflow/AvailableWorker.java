package org.yuccabank.control.workflow;

import org.yuccabank.policy.workflow.WorkerTrust;
import org.yuccabank.protocol.generated.WorkerReport;

/**
 * A worker to which tasks may be assigned. Immutable.
 *
 * @param report its latest report
 * @param standing standing that determines how many tasks it may get
 */
record AvailableWorker(WorkerReport report, WorkerTrust.Standing standing) {}
