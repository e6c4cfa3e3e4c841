package org.yuccabank.state;

import java.util.Locale;
import java.util.Optional;
import org.yuccabank.protocol.generated.CommandRequest;
import org.yuccabank.protocol.generated.CommandResult;

/** Determines the audit record of a command. */
final class AuditDetails {

    private AuditDetails() {}

    static String action(CommandRequest request) {
        return request.getCommandCase().name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    /**
     * Returns the audit detail of a command, or empty if the command is not audited. Claims and
     * their outcomes belong to requests rather than administrative changes, and are kept in the
     * claim records.
     */
    static Optional<String> of(CommandRequest request, CommandResult result) {
        return switch (request.getCommandCase()) {
            case APPLY_RULES ->
                    Optional.of(
                            "expected version "
                                    + request.getApplyRules().getExpectedVersion()
                                    + ", now version "
                                    + result.getVersion());
            case SUBMIT_JOB ->
                    Optional.of(
                            result.getIdentifier() + " kind " + request.getSubmitJob().getKind());
            case CANCEL_JOB -> Optional.of(request.getCancelJob().getJobId());
            case DRAIN_HOST ->
                    Optional.of(
                            request.getDrainHost().getHostId()
                                    + (request.getDrainHost().getUndo() ? " undo" : ""));
            default -> Optional.empty();
        };
    }
}
