package org.yuccabank.command;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;

/**
 * HTTP response of an entry. Immutable.
 *
 * @param status HTTP status
 * @param body JSON body; a missing node if the body is not valid JSON
 */
record EntryResponse(int status, JsonNode body) {

    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final int MINIMUM_ERROR_STATUS = 400;
    private static final int MINIMUM_SERVER_ERROR_STATUS = 500;

    /** Parses the body of a response. */
    static EntryResponse parse(int status, String text) {
        try {
            return new EntryResponse(status, MAPPER.readTree(text));
        } catch (JsonProcessingException exception) {
            return new EntryResponse(status, MAPPER.missingNode());
        }
    }

    /**
     * Returns the exit code for the status: client errors are refusals, server errors
     * unavailability.
     */
    ExitCode exitCode() {
        if (status < MINIMUM_ERROR_STATUS) {
            return ExitCode.SUCCESS;
        }
        return status < MINIMUM_SERVER_ERROR_STATUS ? ExitCode.REFUSED : ExitCode.UNAVAILABLE;
    }

    /** Returns the text of the problem details in the body, with one finding per line. */
    String problemText() {
        String title = body.path("title").asText("response with status " + status);
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
