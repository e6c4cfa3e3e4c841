package org.yuccabank.agent;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;
import org.yuccabank.model.Resources;
import org.yuccabank.protocol.generated.TaskPhase;

/**
 * JSON codec of the worker API and of announcements. Uses the streaming API, as data binding
 * exceeds the agent's memory limit. Unknown fields are skipped.
 */
final class WorkerJson {

    private static final JsonFactory FACTORY = new JsonFactory();

    private WorkerJson() {}

    /** Reads a field of an object. Must consume the value. */
    private interface FieldReader {
        void read(String name, JsonParser parser) throws IOException;
    }

    /** Encodes a call about a task. Converts the lease end to the host's clock. */
    static byte[] write(WorkerCall call, long clockOffsetMillis) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream(256);
        try (JsonGenerator json = FACTORY.createGenerator(bytes)) {
            json.writeStartObject();
            json.writeNumberField("token", call.token());
            json.writeNumberField("leaseUntilMillis", call.leaseEndMillis() + clockOffsetMillis);
            json.writeNumberField("generation", call.generation());
            switch (call.action()) {
                case START -> writeStart(json, call);
                case THROTTLE -> json.writeBooleanField("on", true);
                case UNTHROTTLE -> json.writeBooleanField("on", false);
                default -> {}
            }
            json.writeEndObject();
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        }
        return bytes.toByteArray();
    }

    private static void writeStart(JsonGenerator json, WorkerCall call) throws IOException {
        json.writeStringField("kind", call.kind());
        json.writeStringField("account", call.account());
        json.writeNumberField("runTimeMillis", call.runTimeMillis());
        json.writeObjectFieldStart("reservation");
        json.writeNumberField("processorMillis", call.reservation().processorMillis());
        json.writeNumberField("memoryMebibytes", call.reservation().memoryMebibytes());
        json.writeNumberField("accelerators", call.reservation().accelerators());
        json.writeEndObject();
    }

    /** Decodes the response to a call about a task. */
    static WorkerCallResult readCallResult(byte[] body) throws IOException {
        String[] texts = {"", ""};
        long[] generation = {0};
        try (JsonParser parser = FACTORY.createParser(body)) {
            parser.nextToken();
            readObject(
                    parser,
                    (name, value) -> {
                        switch (name) {
                            case "phase" -> texts[0] = value.getText();
                            case "reason" -> texts[1] = value.getText();
                            case "generation" -> generation[0] = value.getLongValue();
                            default -> value.skipChildren();
                        }
                    });
        }
        return new WorkerCallResult(
                WorkerCallResult.Kind.DONE, phase(texts[0]), generation[0], texts[1]);
    }

    /** Decodes the state of the worker. Converts lease ends from the host's clock. */
    static WorkerState readState(byte[] body, long clockOffsetMillis) throws IOException {
        Resources[] vectors = {Resources.none(), Resources.none(), Resources.none()};
        long[] numbers = {0, 0};
        List<WorkerTask> tasks = new ArrayList<>();
        try (JsonParser parser = FACTORY.createParser(body)) {
            parser.nextToken();
            readObject(
                    parser,
                    (name, value) -> {
                        switch (name) {
                            case "capacity" -> vectors[0] = readResources(value);
                            case "serviceReservation" -> vectors[1] = readResources(value);
                            case "usage" -> vectors[2] = readResources(value);
                            case "usageAgeMillis" -> numbers[0] = value.getLongValue();
                            case "newestToken" -> numbers[1] = value.getLongValue();
                            case "tasks" -> {
                                while (value.nextToken() == JsonToken.START_OBJECT) {
                                    tasks.add(readTask(value, clockOffsetMillis));
                                }
                            }
                            default -> value.skipChildren();
                        }
                    });
        }
        return new WorkerState(
                vectors[0], vectors[1], vectors[2], numbers[0], numbers[1], List.copyOf(tasks));
    }

    private static WorkerTask readTask(JsonParser parser, long clockOffsetMillis)
            throws IOException {
        String[] texts = {"", "", ""};
        long[] numbers = {0, 0, 0};
        double[] progress = {0};
        boolean[] throttled = {false};
        Resources[] vectors = {Resources.none(), Resources.none()};
        readObject(
                parser,
                (name, value) -> {
                    switch (name) {
                        case "id" -> texts[0] = value.getText();
                        case "kind" -> texts[1] = value.getText();
                        case "phase" -> texts[2] = value.getText();
                        case "token" -> numbers[0] = value.getLongValue();
                        case "leaseUntilMillis" ->
                                numbers[1] = value.getLongValue() - clockOffsetMillis;
                        case "checkpoint" -> numbers[2] = value.getLongValue();
                        case "progress" -> progress[0] = value.getDoubleValue();
                        case "throttled" -> throttled[0] = value.getBooleanValue();
                        case "reservation" -> vectors[0] = readResources(value);
                        case "usage" -> vectors[1] = readResources(value);
                        default -> value.skipChildren();
                    }
                });
        return new WorkerTask(
                texts[0],
                numbers[0],
                texts[1],
                phase(texts[2]),
                vectors[0],
                numbers[1],
                numbers[2],
                progress[0],
                vectors[1],
                throttled[0]);
    }

    /**
     * Decodes an announcement of the target.
     *
     * @throws IOException if the body is not valid JSON or a value is missing or out of range
     */
    static Announcement readAnnouncement(byte[] body) throws IOException {
        String[] texts = {"", ""};
        int[] numbers = {0, 0};
        List<String> kinds = new ArrayList<>();
        try (JsonParser parser = FACTORY.createParser(body)) {
            parser.nextToken();
            readObject(
                    parser,
                    (name, value) -> {
                        switch (name) {
                            case "target" -> texts[0] = value.getText();
                            case "service" -> texts[1] = value.getText();
                            case "slots" -> numbers[0] = value.getIntValue();
                            case "connections" -> numbers[1] = value.getIntValue();
                            case "kinds" -> {
                                while (value.nextToken() != JsonToken.END_ARRAY) {
                                    kinds.add(value.getText());
                                }
                            }
                            default -> value.skipChildren();
                        }
                    });
        }
        if (texts[0].isEmpty() || numbers[0] < 1 || numbers[1] < numbers[0]) {
            throw new IOException(
                    "an announcement needs target, slots >= 1 and connections >= slots");
        }
        return new Announcement(texts[0], texts[1], List.copyOf(kinds), numbers[0], numbers[1]);
    }

    private static Resources readResources(JsonParser parser) throws IOException {
        long[] numbers = {0, 0, 0};
        readObject(
                parser,
                (name, value) -> {
                    switch (name) {
                        case "processorMillis" -> numbers[0] = value.getLongValue();
                        case "memoryMebibytes" -> numbers[1] = value.getLongValue();
                        case "accelerators" -> numbers[2] = value.getLongValue();
                        default -> value.skipChildren();
                    }
                });
        return Resources.of(numbers[0], numbers[1], Math.toIntExact(numbers[2]));
    }

    private static void readObject(JsonParser parser, FieldReader reader) throws IOException {
        if (parser.currentToken() != JsonToken.START_OBJECT) {
            throw new IOException("an object is expected");
        }
        while (parser.nextToken() == JsonToken.FIELD_NAME) {
            String name = parser.currentName();
            parser.nextToken();
            reader.read(name, parser);
        }
    }

    private static TaskPhase phase(String text) {
        return switch (text) {
            case "starting" -> TaskPhase.TASK_STARTING;
            case "running" -> TaskPhase.TASK_RUNNING;
            case "stopped" -> TaskPhase.TASK_STOPPED;
            case "finished" -> TaskPhase.TASK_FINISHED;
            case "failed" -> TaskPhase.TASK_FAILED;
            default -> TaskPhase.TASK_PHASE_UNSPECIFIED;
        };
    }
}
