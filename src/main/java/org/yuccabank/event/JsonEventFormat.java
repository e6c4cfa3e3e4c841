package org.yuccabank.event;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.StringWriter;
import java.time.Instant;
import java.time.InstantSource;

/** One JSON object a line, for programs that read logs. Immutable; thread-safe. */
final class JsonEventFormat implements EventFormat {

    private static final JsonFactory JSON = new JsonFactory();

    private final String process;
    private final InstantSource clock;

    JsonEventFormat(String process, InstantSource clock) {
        this.process = process;
        this.clock = clock;
    }

    @Override
    public String format(Event event, long leftOut, Object... details) {
        Instant now = clock.instant();
        StringWriter text = new StringWriter();
        try (JsonGenerator line = JSON.createGenerator(text)) {
            line.writeStartObject();
            line.writeStringField("time", now.toString());
            line.writeStringField("process", process);
            line.writeNumberField("number", event.number());
            line.writeStringField("event", event.name());
            for (int index = 0; index + 1 < details.length; index += 2) {
                write(line, String.valueOf(details[index]), details[index + 1]);
            }
            if (leftOut > 0) {
                line.writeNumberField("leftOut", leftOut);
            }
            line.writeEndObject();
        } catch (IOException exception) {
            throw new IllegalStateException("a line can always be written to memory", exception);
        }
        return text.toString();
    }

    private static void write(JsonGenerator line, String name, Object value) throws IOException {
        if (value instanceof Integer || value instanceof Long) {
            line.writeNumberField(name, ((Number) value).longValue());
        } else {
            line.writeStringField(name, String.valueOf(value));
        }
    }
}
