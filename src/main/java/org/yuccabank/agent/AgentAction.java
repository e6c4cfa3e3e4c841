package org.yuccabank.agent;

import org.yuccabank.protocol.generated.AgentReport;
import org.yuccabank.protocol.generated.Invoke;
import org.yuccabank.protocol.generated.InvokeResult;

/** Something that {@link AgentCore} asks the service around it to do. */
sealed interface AgentAction {

    /**
     * Send a report to the leader of control.
     *
     * @param report the report
     */
    record SendReport(AgentReport report) implements AgentAction {}

    /**
     * Call the worker about a task and hand back the answer.
     *
     * @param call the call
     */
    record CallWorker(WorkerCall call) implements AgentAction {}

    /**
     * Read the state of the worker and hand it back.
     *
     * @param readId number of the reading
     */
    record ReadWorker(long readId) implements AgentAction {}

    /**
     * Send a request to the target and hand back the answer.
     *
     * @param requestNumber number of the request in this agent
     * @param request the request
     */
    record Dispatch(long requestNumber, Invoke request) implements AgentAction {}

    /**
     * Answer a request of an entry.
     *
     * @param requestNumber number of the request in this agent
     * @param result the answer
     */
    record Answer(long requestNumber, InvokeResult result) implements AgentAction {}
}
