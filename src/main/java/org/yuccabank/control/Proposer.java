package org.yuccabank.control;

import com.google.protobuf.InvalidProtocolBufferException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.LongSupplier;
import org.yuccabank.protocol.generated.CommandResult;
import org.yuccabank.protocol.generated.CommandResult.Verdict;
import org.yuccabank.protocol.generated.StateCommand;
import org.yuccabank.replication.ProposalOutcome;
import org.yuccabank.replication.ReplicaMember;
import org.yuccabank.replication.ReplicaService;

/** Proposes commands to the replicated log and decodes their results. Thread-safe. */
public final class Proposer {

    private final ReplicaService replica;
    private final LongSupplier clock;

    private Proposer(ReplicaService replica, LongSupplier clock) {
        this.replica = replica;
        this.clock = clock;
    }

    /**
     * Creates a proposer.
     *
     * @param replica the replica
     * @param clock supplies the current time in milliseconds since the epoch
     * @return the proposer
     */
    public static Proposer of(ReplicaService replica, LongSupplier clock) {
        return new Proposer(replica, clock);
    }

    /**
     * Proposes a command with the current time.
     *
     * @param command the command
     * @return a stage that completes with the result; {@link Verdict#UNAVAILABLE} if the outcome is
     *     unknown
     */
    public CompletionStage<CommandResult> propose(StateCommand.Builder command) {
        byte[] bytes = command.setAcceptedAtMillis(clock.getAsLong()).build().toByteArray();
        CompletableFuture<CommandResult> result = new CompletableFuture<>();
        replica.propose(bytes)
                .whenComplete(
                        (outcome, error) ->
                                result.complete(
                                        error == null
                                                ? decode(outcome)
                                                : unavailable("the replica failed: " + error)));
        return result;
    }

    private static CommandResult decode(ProposalOutcome outcome) {
        if (outcome instanceof ProposalOutcome.Committed committed) {
            try {
                return CommandResult.parseFrom(committed.result());
            } catch (InvalidProtocolBufferException exception) {
                throw new IllegalStateException(
                        "the result of the state machine cannot be decoded", exception);
            }
        }
        if (outcome instanceof ProposalOutcome.NotLeader notLeader) {
            return CommandResult.newBuilder()
                    .setVerdict(Verdict.NOT_LEADER)
                    .setMessage("this replica is not the leader")
                    .setLeaderAddress(notLeader.leader().map(ReplicaMember::address).orElse(""))
                    .build();
        }
        if (outcome instanceof ProposalOutcome.Refused refused) {
            return CommandResult.newBuilder()
                    .setVerdict(Verdict.NOT_LEADER)
                    .setMessage(refused.reason())
                    .build();
        }
        return unavailable(((ProposalOutcome.Unknown) outcome).reason());
    }

    private static CommandResult unavailable(String reason) {
        return CommandResult.newBuilder()
                .setVerdict(Verdict.UNAVAILABLE)
                .setMessage(reason)
                .build();
    }
}
