package org.yuccabank.agent;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Map;
import org.yuccabank.protocol.generated.TaskPhase;
import org.yuccabank.standin.StandInWorker;
import org.yuccabank.standin.StartTaskRequest;
import org.yuccabank.standin.TaskActionRequest;
import org.yuccabank.standin.TaskReply;

/** Connects the stand-in worker to the core without HTTP, using the same JSON. */
final class StandInWorkerAdapter {

    private static final ObjectMapper JSON = new ObjectMapper();

    private StandInWorkerAdapter() {}

    static WorkerState of(Map<String, Object> state) {
        try {
            return WorkerJson.readState(JSON.writeValueAsBytes(state), 0);
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        }
    }

    static WorkerCallResult perform(StandInWorker worker, WorkerCall call, long now) {
        TaskActionRequest taskRequest =
                new TaskActionRequest(
                        call.token(),
                        call.leaseEndMillis(),
                        call.generation(),
                        call.action() == WorkerCall.Action.THROTTLE);
        return toCallResult(
                switch (call.action()) {
                    case START ->
                            worker.start(
                                    call.taskId(),
                                    new StartTaskRequest(
                                            call.token(),
                                            call.kind(),
                                            call.account(),
                                            call.reservation(),
                                            call.leaseEndMillis(),
                                            call.generation(),
                                            call.runTimeMillis()),
                                    now);
                    case RENEW -> worker.renew(call.taskId(), taskRequest, now);
                    case CHECKPOINT -> worker.checkpoint(call.taskId(), taskRequest, now);
                    case THROTTLE, UNTHROTTLE -> worker.throttle(call.taskId(), taskRequest, now);
                    case STOP -> worker.stop(call.taskId(), taskRequest, now);
                });
    }

    private static WorkerCallResult toCallResult(TaskReply reply) {
        if (!reply.accepted()) {
            return WorkerCallResult.of(WorkerCallResult.Kind.REFUSED, reply.reason());
        }
        TaskPhase phase =
                switch (reply.phase()) {
                    case "running" -> TaskPhase.TASK_RUNNING;
                    case "finished" -> TaskPhase.TASK_FINISHED;
                    case "failed" -> TaskPhase.TASK_FAILED;
                    default -> TaskPhase.TASK_STOPPED;
                };
        return WorkerCallResult.done(phase, reply.generation());
    }
}
