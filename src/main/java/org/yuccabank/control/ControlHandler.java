package org.yuccabank.control;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Supplier;
import org.yuccabank.protocol.PeerConnection;
import org.yuccabank.protocol.PeerHandler;
import org.yuccabank.protocol.generated.CommandResult;
import org.yuccabank.protocol.generated.CommandResult.Verdict;
import org.yuccabank.protocol.generated.Envelope;
import org.yuccabank.protocol.generated.ProtocolError;
import org.yuccabank.protocol.generated.WorkflowReply;
import org.yuccabank.protocol.generated.WorkflowRequest;
import org.yuccabank.replication.ReplicaMember;
import org.yuccabank.replication.ReplicaService;
import reactor.core.publisher.Mono;

/**
 * Handles requests from other processes.
 *
 * <p>Invariant: all requests are answered only after leadership has been confirmed, so that a
 * partitioned former leader neither renews leases nor returns stale data. That includes changes,
 * which may be refused without a commit because of the recorded state. Thread-safe.
 */
final class ControlHandler implements PeerHandler {

    private final ReplicaService replica;
    private final ControlLeader leader;

    private ControlHandler(ReplicaService replica, ControlLeader leader) {
        this.replica = replica;
        this.leader = leader;
    }

    static ControlHandler of(ReplicaService replica, ControlLeader leader) {
        return new ControlHandler(replica, leader);
    }

    @Override
    public Mono<Envelope> handle(PeerConnection from, Envelope request) {
        return switch (request.getBodyCase()) {
            case REPLICA_MESSAGE -> {
                replica.receive(request.getReplicaMessage());
                yield Mono.empty();
            }
            case AGENT_REPORT -> asConfirmedLeader(() -> handleReport(from, request));
            case DIRECTORY_REQUEST -> asConfirmedLeader(() -> handleDirectoryRequest(request));
            case COMMAND_REQUEST -> handleCommand(request);
            case WORKER_REPORT ->
                    asConfirmedLeader(
                            () ->
                                    Envelope.newBuilder()
                                            .setWorkerDirectives(
                                                    leader.workflows()
                                                            .report(
                                                                    request.getWorkerReport(),
                                                                    from))
                                            .build());
            case WORKFLOW_REQUEST -> handleWorkflowRequest(request.getWorkflowRequest());
            default ->
                    Mono.just(protocolError("unexpected", "unexpected " + request.getBodyCase()));
        };
    }

    private Envelope handleReport(PeerConnection from, Envelope request) {
        return Envelope.newBuilder()
                .setAgentDirectives(
                        leader.report(
                                request.getAgentReport(),
                                request.getConfigurationVersion(),
                                from,
                                System.currentTimeMillis()))
                .build();
    }

    private Envelope handleDirectoryRequest(Envelope request) {
        return Envelope.newBuilder()
                .setDirectory(
                        leader.directory(request.getDirectoryRequest(), System.currentTimeMillis()))
                .build();
    }

    private Mono<Envelope> handleCommand(Envelope request) {
        if (request.getCommandRequest().hasQuery()) {
            return asConfirmedLeader(
                    () ->
                            commandResponse(
                                    leader.query(
                                            request.getCommandRequest(),
                                            System.currentTimeMillis())));
        }
        if (!replica.isLeader()) {
            return Mono.just(notLeaderResult());
        }
        CompletionStage<Envelope> reply =
                replica.callConfirmed(
                                () ->
                                        leader.command(
                                                request.getCommandRequest(),
                                                System.currentTimeMillis()))
                        .thenCompose(
                                result ->
                                        result.map(
                                                        stage ->
                                                                stage.thenApply(
                                                                        ControlHandler
                                                                                ::commandResponse))
                                                .orElseGet(() -> completed(notLeaderResult())));
        return Mono.fromCompletionStage(reply);
    }

    private Mono<Envelope> handleWorkflowRequest(WorkflowRequest request) {
        if (request.hasConfiguration() || request.hasState()) {
            return asConfirmedLeader(
                    () -> workflowResponse(leader.workflows().read(request).orElseThrow()));
        }
        if (!replica.isLeader()) {
            return Mono.just(notLeaderError());
        }
        CompletionStage<Envelope> reply =
                replica.callConfirmed(() -> leader.workflows().change(request))
                        .thenCompose(
                                result ->
                                        result.map(stage -> stage.thenApply(this::changeResponse))
                                                .orElseGet(() -> completed(notLeaderError())));
        return Mono.fromCompletionStage(reply);
    }

    private Envelope changeResponse(WorkflowReply reply) {
        return reply.getVerdict() == WorkflowReply.Verdict.NOT_LEADER
                ? notLeaderError()
                : workflowResponse(reply);
    }

    private static CompletionStage<Envelope> completed(Envelope reply) {
        return CompletableFuture.completedFuture(reply);
    }

    private static Envelope workflowResponse(WorkflowReply reply) {
        return Envelope.newBuilder().setWorkflowReply(reply).build();
    }

    /**
     * Evaluates the supplier after leadership is confirmed. The supplier runs on the replica
     * thread, so it may read the state.
     */
    private Mono<Envelope> asConfirmedLeader(Supplier<Envelope> supplier) {
        if (!replica.isLeader()) {
            return Mono.just(notLeaderError());
        }
        return Mono.fromCompletionStage(
                replica.callConfirmed(supplier)
                        .thenApply(reply -> reply.orElseGet(this::notLeaderError)));
    }

    private String leaderAddress() {
        return replica.status().leader().map(ReplicaMember::address).orElse("");
    }

    private Envelope notLeaderError() {
        return Envelope.newBuilder()
                .setProtocolError(
                        ProtocolError.newBuilder()
                                .setCode("not-leader")
                                .setMessage("this replica is not the leader")
                                .setLeaderAddress(leaderAddress()))
                .build();
    }

    private Envelope notLeaderResult() {
        return commandResponse(
                CommandResult.newBuilder()
                        .setVerdict(Verdict.NOT_LEADER)
                        .setMessage("this replica is not the leader")
                        .setLeaderAddress(leaderAddress())
                        .build());
    }

    private static Envelope commandResponse(CommandResult result) {
        return Envelope.newBuilder().setCommandResult(result).build();
    }

    private static Envelope protocolError(String code, String message) {
        return Envelope.newBuilder()
                .setProtocolError(ProtocolError.newBuilder().setCode(code).setMessage(message))
                .build();
    }
}
