package org.yuccabank.standin;

import com.fasterxml.jackson.annotation.JsonIgnore;

/**
 * Reply to a request about a task. Immutable.
 *
 * @param accepted whether the request was accepted; sent as the status code only
 * @param phase phase of the task, or an empty string if the request was rejected
 * @param generation newest checkpoint generation
 * @param reason reason for a rejection, otherwise an empty string
 */
public record TaskReply(
        @JsonIgnore boolean accepted, String phase, long generation, String reason) {

    static TaskReply of(StandInTask task) {
        return new TaskReply(true, task.phase.label, task.checkpointGeneration, "");
    }

    static TaskReply stopped() {
        return new TaskReply(true, StandInTask.Phase.STOPPED.label, 0, "");
    }

    static TaskReply rejected(String reason) {
        return new TaskReply(false, "", 0, reason);
    }
}
