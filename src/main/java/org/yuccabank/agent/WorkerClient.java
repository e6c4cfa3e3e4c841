package org.yuccabank.agent;

import com.google.protobuf.ByteString;
import com.google.protobuf.UnsafeByteOperations;
import io.netty.handler.codec.http.HttpMethod;
import java.io.IOException;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.yuccabank.protocol.generated.Invoke;

/**
 * The worker interface of the platform and the target, over HTTP. Used on the event loop of its
 * caller only.
 */
final class WorkerClient {

    private static final String JSON = "application/json";
    private static final byte[] NO_BODY = {};
    private static final long CALL_TIMEOUT_MILLIS = 2_000;
    private static final long CHECKPOINT_TIMEOUT_MILLIS = 10_000;

    // Longer than any deadline of urgent work; the slot of a silent request is freed after it.
    private static final long SERVE_TIMEOUT_MILLIS = 60_000;

    private final HttpCaller caller;
    private final LongSupplier clock;

    WorkerClient(HttpCaller caller, LongSupplier clock) {
        this.caller = caller;
        this.clock = clock;
    }

    /** Reads the state of the worker; empty if it did not answer. */
    void read(Consumer<Optional<WorkerState>> onEnd) {
        caller.call(
                HttpMethod.GET,
                "/v1/worker",
                NO_BODY,
                "",
                CALL_TIMEOUT_MILLIS,
                reply -> onEnd.accept(state(reply)));
    }

    private Optional<WorkerState> state(HttpReply reply) {
        if (!reply.isSuccess()) {
            return Optional.empty();
        }
        try {
            return Optional.of(WorkerJson.readState(reply.body(), clockOffset()));
        } catch (IOException | ArithmeticException exception) {
            return Optional.empty();
        }
    }

    /** Calls the worker about a task. */
    void call(WorkerCall call, Consumer<WorkerAnswer> onEnd) {
        boolean checkpoint = call.action() == WorkerCall.Action.CHECKPOINT;
        caller.call(
                call.action() == WorkerCall.Action.START ? HttpMethod.PUT : HttpMethod.POST,
                path(call),
                WorkerJson.write(call, clockOffset()),
                JSON,
                checkpoint ? CHECKPOINT_TIMEOUT_MILLIS : CALL_TIMEOUT_MILLIS,
                reply -> onEnd.accept(answer(reply)));
    }

    private static String path(WorkerCall call) {
        String task = "/v1/tasks/" + URLEncoder.encode(call.taskId(), StandardCharsets.UTF_8);
        return switch (call.action()) {
            case START -> task;
            case RENEW -> task + "/lease";
            case CHECKPOINT -> task + "/checkpoint";
            case THROTTLE, UNTHROTTLE -> task + "/throttle";
            case STOP -> task + "/stop";
        };
    }

    private static WorkerAnswer answer(HttpReply reply) {
        if (reply.kind() == ServeAnswer.Kind.NOT_SENT) {
            return WorkerAnswer.of(WorkerAnswer.Kind.NOT_SENT, reply.detail());
        }
        if (!reply.isAnswered() || reply.status() >= 500) {
            return WorkerAnswer.of(WorkerAnswer.Kind.UNCERTAIN, reply.detail());
        }
        try {
            WorkerAnswer answer = WorkerJson.readAnswer(reply.body());
            return reply.isSuccess()
                    ? answer
                    : WorkerAnswer.of(WorkerAnswer.Kind.REFUSED, answer.detail());
        } catch (IOException exception) {
            return WorkerAnswer.of(WorkerAnswer.Kind.UNCERTAIN, "the answer is not valid");
        }
    }

    /** Sends a request to the target. */
    void serve(Invoke request, Consumer<ServeAnswer> onEnd) {
        String kind = URLEncoder.encode(request.getKind(), StandardCharsets.UTF_8);
        String key = URLEncoder.encode(request.getRequestId(), StandardCharsets.UTF_8);
        caller.call(
                HttpMethod.POST,
                "/v1/serve/" + kind + "?key=" + key,
                request.getBody().toByteArray(),
                request.getContentType(),
                SERVE_TIMEOUT_MILLIS,
                reply -> onEnd.accept(served(reply)));
    }

    private static ServeAnswer served(HttpReply reply) {
        if (!reply.isAnswered()) {
            return ServeAnswer.failed(reply.kind(), reply.detail());
        }
        ByteString body = UnsafeByteOperations.unsafeWrap(reply.body());
        return ServeAnswer.answered(reply.status(), body, reply.contentType());
    }

    /**
     * What to add to a time of the agent for the time of the host. The host's time is read first,
     * so that a pause between both readings makes leases shorter, never longer.
     */
    private long clockOffset() {
        long host = System.currentTimeMillis();
        return host - clock.getAsLong();
    }

    void stop() {
        caller.stop();
    }
}
