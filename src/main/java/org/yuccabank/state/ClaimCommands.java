package org.yuccabank.state;

import java.util.Optional;
import org.yuccabank.protocol.generated.ClaimOutcome;
import org.yuccabank.protocol.generated.ClaimRequest;
import org.yuccabank.protocol.generated.CommandResult;
import org.yuccabank.protocol.generated.CommandResult.Verdict;
import org.yuccabank.protocol.generated.OutcomeKind;
import org.yuccabank.state.generated.ClaimRecord;
import org.yuccabank.state.generated.HostRecord;

/**
 * Applies the commands for claims of at-most-once requests.
 *
 * <p>Invariants: a key has at most one claim; a claim names one incarnation of one agent and one
 * fencing token; a claim passes to another agent only after proof that the request did not run.
 */
final class ClaimCommands {

    private ClaimCommands() {}

    static boolean isOpen(ClaimRecord claim) {
        return claim.getOutcome().getOutcome() == OutcomeKind.IN_PROGRESS;
    }

    static CommandResult claim(
            SystemState state, ClaimRequest request, String account, long index, long nowMillis) {
        Optional<ClaimRecord> existing = state.claim(account, request.getKey());
        if (existing.isPresent()) {
            Optional<CommandResult> rejection = rejection(existing.get(), request);
            if (rejection.isPresent()) {
                return rejection.get();
            }
        }
        long newestIncarnation =
                state.host(request.getHostId()).map(HostRecord::getIncarnation).orElse(0L);
        if (request.getIncarnation() < newestIncarnation) {
            return CommandResults.of(Verdict.REJECTED, "the agent was restarted");
        }
        ClaimOutcome outcome =
                ClaimOutcome.newBuilder()
                        .setKey(request.getKey())
                        .setAccount(account)
                        .setFencingToken(index)
                        .setOutcome(OutcomeKind.IN_PROGRESS)
                        .build();
        state.putClaim(
                ClaimRecord.newBuilder()
                        .setAccount(account)
                        .setKey(request.getKey())
                        .setKind(request.getKind())
                        .setFencingToken(index)
                        .setHostId(request.getHostId())
                        .setIncarnation(request.getIncarnation())
                        .setRequestDigest(request.getRequestDigest())
                        .setOutcome(outcome)
                        .setClaimedAtMillis(nowMillis)
                        .build());
        return CommandResults.accepted(index).toBuilder().setFencingToken(index).build();
    }

    private static Optional<CommandResult> rejection(ClaimRecord existing, ClaimRequest request) {
        if (existing.getRequestDigest() != request.getRequestDigest()) {
            return Optional.of(
                    CommandResults.of(
                            Verdict.REJECTED, "the key was used for a different request"));
        }
        boolean provedNotRun = existing.getOutcome().getOutcome() == OutcomeKind.NOT_RUN;
        if (provedNotRun && existing.getFencingToken() == request.getReplacesToken()) {
            return Optional.empty();
        }
        return Optional.of(
                CommandResults.of(Verdict.CONFLICT, "the key has a claim").toBuilder()
                        .setFencingToken(existing.getFencingToken())
                        .setIdentifier(existing.getHostId())
                        .setIncarnation(existing.getIncarnation())
                        .setClaimOutcome(existing.getOutcome())
                        .build());
    }

    static CommandResult reportOutcome(SystemState state, ClaimOutcome outcome, long index) {
        Optional<ClaimRecord> found = state.claim(outcome.getAccount(), outcome.getKey());
        if (found.isEmpty() || found.get().getFencingToken() != outcome.getFencingToken()) {
            return CommandResults.of(Verdict.NOT_FOUND, "no such claim");
        }
        ClaimRecord claim = found.get();
        OutcomeKind known = claim.getOutcome().getOutcome();
        // A late report can still prove that a request of unknown outcome ran. Once the incarnation
        // that held the claim is gone, nothing can prove that the request did not run.
        boolean provesRun = known == OutcomeKind.UNKNOWN && outcome.getOutcome() == OutcomeKind.RAN;
        if (known == OutcomeKind.IN_PROGRESS || provesRun) {
            state.putClaim(claim.toBuilder().setOutcome(outcome).build());
        }
        return CommandResults.accepted(index);
    }

    static CommandResult endClaimsOfEarlierIncarnations(
            SystemState state, String hostId, long incarnation, long index) {
        HostRecord host =
                state.host(hostId)
                        .orElseGet(() -> HostRecord.newBuilder().setHostId(hostId).build());
        if (incarnation <= host.getIncarnation()) {
            return CommandResults.accepted(index);
        }
        state.putHost(host.toBuilder().setIncarnation(incarnation).build());
        for (ClaimRecord claim : state.openClaimsOfHost(hostId)) {
            if (claim.getIncarnation() < incarnation) {
                ClaimOutcome unknown =
                        claim.getOutcome().toBuilder().setOutcome(OutcomeKind.UNKNOWN).build();
                state.putClaim(claim.toBuilder().setOutcome(unknown).build());
            }
        }
        return CommandResults.accepted(index);
    }
}
