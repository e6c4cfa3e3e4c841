package org.yuccabank.control.workflow;

import org.yuccabank.control.workflow.WorkerCrashHistory.Reliability;
import org.yuccabank.policy.workflow.WorkerCircuitBreaker;
import org.yuccabank.protocol.generated.WorkerIdentity;
import org.yuccabank.protocol.generated.WorkerReport;

/**
 * A worker to which tasks may be assigned. Immutable.
 *
 * @param report its latest report
 * @param circuitState state of its circuit breaker, which determines how many tasks it may get
 * @param reliability how much it is trusted not to crash on its own
 */
record AvailableWorker(
        WorkerReport report, WorkerCircuitBreaker.State circuitState, Reliability reliability) {

    /** Creates a worker without known crashes. */
    AvailableWorker(WorkerReport report, WorkerCircuitBreaker.State circuitState) {
        this(report, circuitState, Reliability.WITHOUT_CRASH);
    }

    /** Returns a key that identifies this incarnation of the worker. */
    String key() {
        return key(report.getWorker());
    }

    /** Returns the key of an incarnation. */
    static String key(WorkerIdentity worker) {
        return worker.getWorkerId() + "/" + worker.getBornMillis();
    }
}
