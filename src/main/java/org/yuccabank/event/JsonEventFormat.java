package org.yuccabank.event;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Instant;
import java.time.InstantSource;

/** Machine-readable format with one JSON object per line. Immutable and thread-safe. */
final class JsonEventFormat implements EventFormat {

    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final String process;
    private final InstantSource clock;

    JsonEventFormat(String process, InstantSource clock) {
        this.process = process;
        this.clock = clock;
    }

    @Override
    public String format(Event event, long suppressed, Object... details) {
        Instant now = clock.instant();
        ObjectNode line =
                MAPPER.createObjectNode()
                        .put("time", now.toString())
                        .put("process", process)
                        .put("number", event.number())
                        .put("event", event.name());
        for (int index = 0; index + 1 < details.length; index += 2) {
            put(line, String.valueOf(details[index]), details[index + 1]);
        }
        if (suppressed > 0) {
            line.put("leftOut", suppressed);
        }
        try {
            return MAPPER.writeValueAsString(line);
        } catch (JsonProcessingException exception) {
            throw new IllegalStateException("JSON tree cannot be serialised", exception);
        }
    }

    private static void put(ObjectNode line, String name, Object value) {
        if (value instanceof Integer || value instanceof Long) {
            line.put(name, ((Number) value).longValue());
        } else {
            line.put(name, String.valueOf(value));
        }
    }
}
