package org.yuccabank.http;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.yuccabank.model.Outcome;

/**
 * Error response body with problem details (RFC 9457). Immutable.
 *
 * @param status HTTP status
 * @param title short description of the problem type
 * @param detail description of this occurrence
 * @param outcome execution state of the request, empty for requests that run nothing
 * @param findings all findings about the input, empty if there is only one problem
 * @param retryAfterMillis time after which a retry may succeed, empty if it will not
 */
public record Problem(
        int status,
        String title,
        String detail,
        Optional<Outcome> outcome,
        List<String> findings,
        Optional<Long> retryAfterMillis) {

    /** Media type of the body. */
    public static final String MEDIA_TYPE = "application/problem+json";

    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final long MILLIS_PER_SECOND = 1_000;

    /** Validates the components. */
    public Problem {
        Objects.requireNonNull(title, "title is null");
        Objects.requireNonNull(detail, "detail is null");
        findings = List.copyOf(findings);
    }

    /**
     * Creates a problem without a retry time.
     *
     * @param status HTTP status
     * @param title short description of the problem type
     * @param detail description of this occurrence
     * @return the problem
     */
    public static Problem of(int status, String title, String detail) {
        return new Problem(status, title, detail, Optional.empty(), List.of(), Optional.empty());
    }

    /**
     * Returns a copy with the outcome of the request.
     *
     * @param requestOutcome execution state of the request
     * @return the copy
     */
    public Problem withOutcome(Outcome requestOutcome) {
        return new Problem(
                status, title, detail, Optional.of(requestOutcome), findings, retryAfterMillis);
    }

    /**
     * Returns a copy with a retry time.
     *
     * @param millis time after which a retry may succeed
     * @return the copy
     */
    public Problem withRetryAfter(long millis) {
        return new Problem(status, title, detail, outcome, findings, Optional.of(millis));
    }

    /**
     * Returns a copy with findings about the input.
     *
     * @param inputFindings the findings
     * @return the copy
     */
    public Problem withFindings(List<String> inputFindings) {
        return new Problem(status, title, detail, outcome, inputFindings, retryAfterMillis);
    }

    /**
     * Returns the value of the {@code Retry-After} header.
     *
     * @return seconds, rounded up and at least 1; empty without a retry time
     */
    public Optional<String> retryAfterSeconds() {
        return retryAfterMillis.map(
                millis ->
                        Long.toString(
                                Math.max(1, (millis + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND)));
    }

    /**
     * Returns the body as JSON.
     *
     * @param instance path of the request
     * @return the JSON text
     */
    public String toJson(String instance) {
        ObjectNode node =
                MAPPER.createObjectNode()
                        .put("type", "about:blank")
                        .put("title", title)
                        .put("status", status)
                        .put("detail", detail)
                        .put("instance", instance);
        outcome.ifPresent(knownOutcome -> node.put("outcome", knownOutcome.label()));
        if (!findings.isEmpty()) {
            ArrayNode list = node.putArray("findings");
            findings.forEach(list::add);
        }
        return node.toString();
    }
}
