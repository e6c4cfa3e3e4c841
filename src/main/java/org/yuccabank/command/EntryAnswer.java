package org.yuccabank.command;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;

/**
 * Answer of an entry. Immutable.
 *
 * @param status HTTP status
 * @param body the JSON body; a missing node if the body is no JSON
 */
record EntryAnswer(int status, JsonNode body) {

    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final int FIRST_ERROR = 400;
    private static final int FIRST_SERVER_ERROR = 500;

    /** Reads the body of an answer. */
    static EntryAnswer of(int status, String text) {
        try {
            return new EntryAnswer(status, MAPPER.readTree(text));
        } catch (JsonProcessingException exception) {
            return new EntryAnswer(status, MAPPER.missingNode());
        }
    }

    /** Exit code that the answer stands for. */
    ExitCode exitCode() {
        if (status < FIRST_ERROR) {
            return ExitCode.SUCCESS;
        }
        return status < FIRST_SERVER_ERROR ? ExitCode.REFUSED : ExitCode.UNAVAILABLE;
    }

    /** The problem that the body describes, one finding on a line. */
    String problem() {
        String title = body.path("title").asText("answer with status " + status);
        StringBuilder text = new StringBuilder(title);
        String detail = body.path("detail").asText("");
        if (!detail.isEmpty()) {
            text.append(": ").append(detail);
        }
        if (body.has("outcome")) {
            text.append(" (outcome: ").append(body.path("outcome").asText()).append(')');
        }
        body.path("findings").forEach(finding -> text.append('\n').append(finding.asText()));
        return text.toString();
    }
}
