package org.yuccabank.standin;

import com.fasterxml.jackson.annotation.JsonIgnore;

/**
 * Answer to a call about a task. Immutable.
 *
 * @param accepted whether the call took effect
 * @param phase phase of the task
 * @param generation newest checkpoint generation
 * @param reason why the call was refused
 */
public record TaskReply(
        @JsonIgnore boolean accepted, String phase, long generation, String reason) {

    static TaskReply of(StandInTask task) {
        return new TaskReply(true, task.phase.label, task.checkpointGeneration, "");
    }

    static TaskReply stopped() {
        return new TaskReply(true, StandInTask.Phase.STOPPED.label, 0, "");
    }

    static TaskReply refused(String reason) {
        return new TaskReply(false, "", 0, reason);
    }
}
