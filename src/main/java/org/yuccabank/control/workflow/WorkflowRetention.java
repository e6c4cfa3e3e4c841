package org.yuccabank.control.workflow;

import java.util.List;
import org.yuccabank.state.workflow.Workflow;
import org.yuccabank.state.workflow.WorkflowRecords;

/** Decides how long final workflows are kept, so that clients can query their state. Stateless. */
final class WorkflowRetention {

    private static final long RETENTION_MILLIS = 15 * 60_000;

    private WorkflowRetention() {}

    /**
     * Returns the identifiers of workflows to forget, in order of acceptance.
     *
     * @param nowMillis current time in milliseconds since the epoch
     * @param limit maximum number of identifiers
     */
    static List<String> expired(WorkflowRecords records, long nowMillis, int limit) {
        return records.workflows().stream()
                .filter(Workflow::isFinal)
                .filter(workflow -> nowMillis - workflow.endedAtMillis() > RETENTION_MILLIS)
                .limit(limit)
                .map(Workflow::id)
                .toList();
    }
}
