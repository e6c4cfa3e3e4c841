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
 * Client of the HTTP APIs of the worker and the target. Confined to the event loop of its {@link
 * PooledHttpClient}.
 */
final class WorkerClient {

    private static final String JSON = "application/json";
    private static final byte[] NO_BODY = {};
    private static final long CALL_TIMEOUT_MILLIS = 2_000;
    private static final long CHECKPOINT_TIMEOUT_MILLIS = 10_000;

    // Exceeds any deadline of urgent work; frees the slot of a request that gets no response.
    private static final long SERVE_TIMEOUT_MILLIS = 60_000;

    private final PooledHttpClient client;
    private final LongSupplier clock;

    WorkerClient(PooledHttpClient client, LongSupplier clock) {
        this.client = client;
        this.clock = clock;
    }

    /** Reads the state of the worker; the result is empty if there was no valid response. */
    void read(Consumer<Optional<WorkerState>> onResult) {
        client.call(
                HttpMethod.GET,
                "/v1/worker",
                NO_BODY,
                "",
                CALL_TIMEOUT_MILLIS,
                httpResult -> onResult.accept(workerState(httpResult)));
    }

    private Optional<WorkerState> workerState(HttpResult httpResult) {
        if (!httpResult.isSuccess()) {
            return Optional.empty();
        }
        try {
            return Optional.of(WorkerJson.readState(httpResult.body(), clockOffset()));
        } catch (IOException | ArithmeticException exception) {
            return Optional.empty();
        }
    }

    /** Sends a call about a task to the worker. */
    void call(WorkerCall call, Consumer<WorkerCallResult> onResult) {
        boolean checkpoint = call.action() == WorkerCall.Action.CHECKPOINT;
        client.call(
                call.action() == WorkerCall.Action.START ? HttpMethod.PUT : HttpMethod.POST,
                path(call),
                WorkerJson.write(call, clockOffset()),
                JSON,
                checkpoint ? CHECKPOINT_TIMEOUT_MILLIS : CALL_TIMEOUT_MILLIS,
                httpResult -> onResult.accept(callResult(httpResult)));
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

    private static WorkerCallResult callResult(HttpResult httpResult) {
        if (httpResult.kind() == ServeResult.Kind.NOT_SENT) {
            return WorkerCallResult.of(WorkerCallResult.Kind.NOT_SENT, httpResult.detail());
        }
        if (!httpResult.isAnswered() || httpResult.status() >= 500) {
            return WorkerCallResult.of(WorkerCallResult.Kind.UNCERTAIN, httpResult.detail());
        }
        try {
            WorkerCallResult callResult = WorkerJson.readCallResult(httpResult.body());
            return httpResult.isSuccess()
                    ? callResult
                    : WorkerCallResult.of(WorkerCallResult.Kind.REFUSED, callResult.detail());
        } catch (IOException exception) {
            return WorkerCallResult.of(
                    WorkerCallResult.Kind.UNCERTAIN, "the response is not valid");
        }
    }

    /** Sends a request to the target. */
    void serve(Invoke request, Consumer<ServeResult> onResult) {
        String kind = URLEncoder.encode(request.getKind(), StandardCharsets.UTF_8);
        String key = URLEncoder.encode(request.getRequestId(), StandardCharsets.UTF_8);
        client.call(
                HttpMethod.POST,
                "/v1/serve/" + kind + "?key=" + key,
                request.getBody().toByteArray(),
                request.getContentType(),
                SERVE_TIMEOUT_MILLIS,
                httpResult -> onResult.accept(serveResult(httpResult)));
    }

    private static ServeResult serveResult(HttpResult httpResult) {
        if (!httpResult.isAnswered()) {
            return ServeResult.failed(httpResult.kind(), httpResult.detail());
        }
        ByteString body = UnsafeByteOperations.unsafeWrap(httpResult.body());
        return ServeResult.answered(httpResult.status(), body, httpResult.contentType());
    }

    /**
     * Returns the offset of the host's clock from the agent's clock in milliseconds. The host's
     * clock is read first, so that a pause between both reads can only shorten the leases that are
     * sent.
     */
    private long clockOffset() {
        long host = System.currentTimeMillis();
        return host - clock.getAsLong();
    }

    void stop() {
        client.stop();
    }
}
