package org.yuccabank.control.workflow;

import org.yuccabank.policy.workflow.WorkerCircuitBreaker;
import org.yuccabank.protocol.generated.WorkerIdentity;
import org.yuccabank.protocol.generated.WorkerReport;

/**
 * A worker to which tasks may be assigned. Immutable.
 *
 * @param report its latest report
 * @param circuitState state of its circuit breaker, which determines how many tasks it may get
 */
record AvailableWorker(WorkerReport report, WorkerCircuitBreaker.State circuitState) {

    /** Returns a key that identifies this incarnation of the worker. */
    String key() {
        return key(report.getWorker());
    }

    /** Returns the key of an incarnation. */
    static String key(WorkerIdentity worker) {
        return worker.getWorkerId() + "/" + worker.getBornMillis();
    }
}
