package org.yuccabank.http;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.yuccabank.model.Outcome;

/**
 * Error body in the form of problem details (RFC 9457). Immutable.
 *
 * @param status HTTP status
 * @param title short description of the kind of problem
 * @param detail what is wrong in this case
 * @param outcome what is known about the request, empty for requests that run nothing
 * @param findings all faults of the input, empty if there is only one problem
 * @param retryAfterMillis when another try may succeed, empty if it will not
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

    /** Checks the parts. */
    public Problem {
        Objects.requireNonNull(title, "title is null");
        Objects.requireNonNull(detail, "detail is null");
        findings = List.copyOf(findings);
    }

    /**
     * A problem without advice to try again.
     *
     * @param status HTTP status
     * @param title kind of problem
     * @param detail what is wrong in this case
     * @return the problem
     */
    public static Problem of(int status, String title, String detail) {
        return new Problem(status, title, detail, Optional.empty(), List.of(), Optional.empty());
    }

    /**
     * The same problem with the outcome of the request.
     *
     * @param requestOutcome what is known about the request
     * @return the changed copy
     */
    public Problem withOutcome(Outcome requestOutcome) {
        return new Problem(
                status, title, detail, Optional.of(requestOutcome), findings, retryAfterMillis);
    }

    /**
     * The same problem with advice to try again.
     *
     * @param millis time to wait
     * @return the changed copy
     */
    public Problem withRetryAfter(long millis) {
        return new Problem(status, title, detail, outcome, findings, Optional.of(millis));
    }

    /**
     * The same problem with all faults of the input.
     *
     * @param inputFindings the faults
     * @return the changed copy
     */
    public Problem withFindings(List<String> inputFindings) {
        return new Problem(status, title, detail, outcome, inputFindings, retryAfterMillis);
    }

    /**
     * Value of the {@code Retry-After} header.
     *
     * @return whole seconds, at least 1; empty without advice
     */
    public Optional<String> retryAfterSeconds() {
        return retryAfterMillis.map(
                millis ->
                        Long.toString(
                                Math.max(1, (millis + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND)));
    }

    /**
     * The body.
     *
     * @param instance path of the request
     * @return JSON text
     */
    public String toJson(String instance) {
        ObjectNode node =
                MAPPER.createObjectNode()
                        .put("type", "about:blank")
                        .put("title", title)
                        .put("status", status)
                        .put("detail", detail)
                        .put("instance", instance);
        outcome.ifPresent(known -> node.put("outcome", known.label()));
        if (!findings.isEmpty()) {
            ArrayNode list = node.putArray("findings");
            findings.forEach(list::add);
        }
        return node.toString();
    }
}
