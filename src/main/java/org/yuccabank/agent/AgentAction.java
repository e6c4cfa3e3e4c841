package org.yuccabank.agent;

import org.yuccabank.protocol.generated.AgentReport;
import org.yuccabank.protocol.generated.Invoke;
import org.yuccabank.protocol.generated.InvokeResult;

/** A side effect that {@link AgentCore} requests from {@link AgentService}. */
sealed interface AgentAction {

    /**
     * Sends a report to the control leader.
     *
     * @param report the report
     */
    record SendReport(AgentReport report) implements AgentAction {}

    /**
     * Calls the worker about a task and passes the result to {@link AgentCore#onWorkerCallResult}.
     *
     * @param call the call
     */
    record CallWorker(WorkerCall call) implements AgentAction {}

    /**
     * Reads the state of the worker and passes it to {@link AgentCore#onWorkerState}.
     *
     * @param readId sequence number of the read
     */
    record ReadWorker(long readId) implements AgentAction {}

    /**
     * Sends a request to the target and passes the result to {@link AgentCore#onServeResult}.
     *
     * @param requestNumber local number of the request, unique in this process
     * @param request the request
     */
    record Dispatch(long requestNumber, Invoke request) implements AgentAction {}

    /**
     * Answers a request from an entry.
     *
     * @param requestNumber local number of the request, unique in this process
     * @param result the result to send
     */
    record Answer(long requestNumber, InvokeResult result) implements AgentAction {}
}
