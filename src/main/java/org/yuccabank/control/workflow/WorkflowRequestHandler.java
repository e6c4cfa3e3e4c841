package org.yuccabank.control.workflow;

import com.google.protobuf.ByteString;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.yuccabank.event.Event;
import org.yuccabank.event.EventLog;
import org.yuccabank.event.RequestLines;
import org.yuccabank.protocol.PeerAddress;
import org.yuccabank.protocol.generated.AcceptWorkflow;
import org.yuccabank.protocol.generated.CancelWorkflowById;
import org.yuccabank.protocol.generated.CommandResult;
import org.yuccabank.protocol.generated.FleetConfiguration;
import org.yuccabank.protocol.generated.JoinRequest;
import org.yuccabank.protocol.generated.QueueDefinition;
import org.yuccabank.protocol.generated.WorkflowCommand;
import org.yuccabank.protocol.generated.WorkflowDefinition;
import org.yuccabank.protocol.generated.WorkflowReply;
import org.yuccabank.protocol.generated.WorkflowReply.Verdict;
import org.yuccabank.protocol.generated.WorkflowRequest;
import org.yuccabank.state.workflow.Workflow;
import org.yuccabank.state.workflow.WorkflowLimits;

/**
 * Handles the requests of clients and operators on the leader.
 *
 * <p>Invariants: a change is reported as accepted only after it is committed; a workflow whose
 * cancellation was acknowledged is not accepted later, known or not; a submission or cancellation
 * that arrives while a submission of the same workflow is being committed waits for its outcome.
 * Confined to the replica thread.
 */
final class WorkflowRequestHandler {

    /** Delay after which some of the recorded tasks have usually ended. */
    private static final long RECORDS_FULL_RETRY_MILLIS = 5_000;

    private final WorkflowLeader leader;
    private final MembershipManager membership;
    private final WorkflowLog log;
    private final LineDecisions lineDecisions = new LineDecisions(WorkflowLeader.monotonicMillis());

    /** Submissions that are being committed, by workflow identifier. */
    private final Map<String, CompletionStage<WorkflowReply>> pendingSubmissions = new HashMap<>();

    WorkflowRequestHandler(WorkflowLeader leader, MembershipManager membership, WorkflowLog log) {
        this.leader = leader;
        this.membership = membership;
        this.log = log;
    }

    /**
     * Answers a read-only request. The caller must have confirmed leadership.
     *
     * @param request the request
     * @return the reply, empty if the request changes the state
     */
    Optional<WorkflowReply> read(WorkflowRequest request) {
        return switch (request.getRequestCase()) {
            case CONFIGURATION ->
                    Optional.of(configuration(request.getConfiguration().getWithoutDocument()));
            case STATE -> Optional.of(workflowState(request));
            default -> Optional.empty();
        };
    }

    private WorkflowReply configuration(boolean withoutDocument) {
        WorkflowReply.Builder reply =
                leader.records()
                        .configuration()
                        .map(
                                found ->
                                        reply(Verdict.ACCEPTED, "")
                                                .setDocument(
                                                        withoutDocument
                                                                ? ByteString.EMPTY
                                                                : found.getDocument())
                                                .setVersion(found.getVersion()))
                        .orElseGet(() -> reply(Verdict.REFUSED, "no configuration yet"));
        return reply.addAllControlAddresses(leader.memberAddresses()).build();
    }

    private WorkflowReply workflowState(WorkflowRequest request) {
        Optional<FleetConfiguration> configuration = leader.records().configuration();
        if (configuration.isEmpty()) {
            return reply(Verdict.REFUSED, "no configuration yet").build();
        }
        Optional<QueueMatch> match = QueueMatch.find(configuration.get(), request.getAddress());
        if (match.isEmpty()) {
            return reply(Verdict.UNKNOWN_QUEUE, "no queue has this host name and path").build();
        }
        if (match.get().workflowId().isEmpty()) {
            return reply(Verdict.ACCEPTED, "")
                    .setQueueAnswer(true)
                    .setPending(pendingWorkflows(match.get().queue().getName()))
                    .build();
        }
        return leader.records()
                .workflow(match.get().workflowId())
                .map(found -> reply(Verdict.ACCEPTED, "").setPhase(found.phase()).build())
                .orElseGet(() -> reply(Verdict.UNKNOWN_WORKFLOW, "no such workflow").build());
    }

    private int pendingWorkflows(String queueName) {
        return PendingWorkflows.count(leader.records().liveWorkflows(), queueName, leader::view);
    }

    /**
     * Executes a request that changes the state.
     *
     * @param request the request
     * @return a stage that completes with the reply once the change is durable
     */
    CompletionStage<WorkflowReply> change(WorkflowRequest request) {
        return switch (request.getRequestCase()) {
            case SUBMIT -> submit(request);
            case CANCEL -> cancel(request);
            case REPLACE -> replaceConfiguration(request.getReplace().getConfiguration());
            case JOIN -> completed(join(request.getJoin()));
            default ->
                    CompletableFuture.completedFuture(
                            reply(Verdict.INVALID, "the request is empty").build());
        };
    }

    /** Adds a replica. Its address becomes part of the membership, where it must be usable. */
    private WorkflowReply.Builder join(JoinRequest join) {
        if (join.getReplicaId().isEmpty() || PeerAddress.tryParse(join.getAddress()).isEmpty()) {
            return reply(Verdict.INVALID, "no identifier or no IP address and port");
        }
        membership.handleJoin(join);
        return reply(Verdict.ACCEPTED, "");
    }

    private CompletionStage<WorkflowReply> submit(WorkflowRequest request) {
        Optional<FleetConfiguration> configuration = leader.records().configuration();
        if (configuration.isEmpty()) {
            return completed(reply(Verdict.REFUSED, "no configuration yet"));
        }
        Optional<QueueMatch> match = QueueMatch.find(configuration.get(), request.getAddress());
        if (match.isEmpty() || match.get().workflowId().isEmpty()) {
            return completed(reply(Verdict.UNKNOWN_QUEUE, "no queue has this host name and path"));
        }
        String workflowId = match.get().workflowId();
        if (leader.records().workflow(workflowId).isPresent()) {
            return completed(reply(Verdict.ACCEPTED, "accepted before"));
        }
        if (leader.records().isCancelledEarly(workflowId, System.currentTimeMillis())) {
            return completed(cancelledEarly());
        }
        if (pendingSubmissions.containsKey(workflowId)) {
            // A repeated submission that is refused would deny that the first one runs.
            return pendingSubmissions.get(workflowId);
        }
        WorkflowDefinition definition =
                request.getSubmit().toBuilder().setWorkflowId(workflowId).build();
        Optional<String> violation = WorkflowLimits.violation(definition);
        if (violation.isPresent() || !WorkflowLimits.hasOrderedDependencies(definition)) {
            return completed(
                    reply(Verdict.INVALID, violation.orElse("a dependency is no earlier step")));
        }
        if (!leader.records().hasRoomFor(definition)) {
            log.refused(
                    lineDecisions.decideRefused(WorkflowLeader.monotonicMillis()),
                    definition,
                    match.get().queue(),
                    RECORDS_FULL_RETRY_MILLIS);
            return completed(
                    reply(Verdict.REFUSED, "too many tasks are recorded")
                            .setRetryAfterMillis(RECORDS_FULL_RETRY_MILLIS));
        }
        OptionalLong retryAfterMillis = retryAfterMillis(definition, match.get().queue());
        if (retryAfterMillis.isPresent()) {
            log.refused(
                    lineDecisions.decideRefused(WorkflowLeader.monotonicMillis()),
                    definition,
                    match.get().queue(),
                    retryAfterMillis.getAsLong());
            return completed(
                    reply(Verdict.REFUSED, "the backlog is too long")
                            .setRetryAfterMillis(retryAfterMillis.getAsLong()));
        }
        WorkflowDefinition decided =
                lineDecisions.decide(definition, WorkflowLeader.monotonicMillis());
        AcceptWorkflow accept =
                AcceptWorkflow.newBuilder()
                        .setDefinition(decided)
                        .setQueue(match.get().queue())
                        .build();
        log.accepted(decided, match.get().queue(), configuration.get());
        return proposeSubmission(accept, workflowId);
    }

    private CompletionStage<WorkflowReply> proposeSubmission(
            AcceptWorkflow accept, String workflowId) {
        CompletableFuture<WorkflowReply> outcome = new CompletableFuture<>();
        pendingSubmissions.put(workflowId, outcome);
        leader.propose(WorkflowCommand.newBuilder().setAccept(accept))
                .whenComplete(
                        (result, error) -> {
                            pendingSubmissions.remove(workflowId, outcome);
                            if (error == null) {
                                outcome.complete(submissionReply(result, workflowId));
                            } else {
                                outcome.completeExceptionally(error);
                            }
                        });
        return outcome;
    }

    /** Returns the reply to a submission, which a cancellation may have overtaken in the log. */
    private WorkflowReply submissionReply(CommandResult result, String workflowId) {
        WorkflowReply reply = commitReply(result, workflowId);
        boolean accepted = reply.getVerdict() == Verdict.ACCEPTED;
        return accepted && leader.records().workflow(workflowId).isEmpty()
                ? cancelledEarly().build()
                : reply;
    }

    private static WorkflowReply.Builder cancelledEarly() {
        return reply(Verdict.REFUSED, "the workflow was cancelled before it was submitted");
    }

    private OptionalLong retryAfterMillis(WorkflowDefinition definition, QueueDefinition queue) {
        if (!leader.hasDiscoveredWorkers()) {
            return OptionalLong.empty();
        }
        return AdmissionControl.retryAfterMillis(
                definition,
                queue,
                leader.records(),
                leader.availableWorkers(WorkflowLeader.monotonicMillis()),
                WorkEstimator.of(leader.records(), leader.estimates()),
                System.currentTimeMillis());
    }

    private CompletionStage<WorkflowReply> cancel(WorkflowRequest request) {
        Optional<QueueMatch> match =
                leader.records()
                        .configuration()
                        .flatMap(found -> QueueMatch.find(found, request.getAddress()));
        if (match.isEmpty()) {
            return completed(reply(Verdict.UNKNOWN_QUEUE, "no queue has this host name and path"));
        }
        String workflowId = match.get().workflowId();
        Optional<Workflow> workflow = leader.records().workflow(workflowId);
        if (pendingSubmissions.containsKey(workflowId)) {
            return pendingSubmissions
                    .get(workflowId)
                    .thenCompose(
                            reply ->
                                    reply.getVerdict() == Verdict.ACCEPTED
                                            ? cancel(request)
                                            : CompletableFuture.completedFuture(reply));
        }
        if (workflow.isEmpty()) {
            return cancelUnknown(workflowId);
        }
        if (workflow.get().isFinal()) {
            return completed(reply(Verdict.ACCEPTED, "ended before"));
        }
        return leader.propose(cancelCommand(workflowId))
                .thenApply(
                        result -> {
                            WorkflowReply reply = commitReply(result, workflowId);
                            leader.sendStops(workflow.get());
                            return reply;
                        });
    }

    /**
     * Records the cancellation of an unknown workflow before it is acknowledged, as its submission
     * may still be under way.
     */
    private CompletionStage<WorkflowReply> cancelUnknown(String workflowId) {
        WorkflowReply unknown = reply(Verdict.UNKNOWN_WORKFLOW, "no such workflow").build();
        if (workflowId.isEmpty()
                || leader.records().isCancelledEarly(workflowId, System.currentTimeMillis())) {
            return CompletableFuture.completedFuture(unknown);
        }
        return leader.propose(cancelCommand(workflowId))
                .thenApply(
                        result -> {
                            WorkflowReply reply = commitReply(result, workflowId);
                            return reply.getVerdict() == Verdict.ACCEPTED ? unknown : reply;
                        });
    }

    private static WorkflowCommand.Builder cancelCommand(String workflowId) {
        return WorkflowCommand.newBuilder()
                .setCancel(CancelWorkflowById.newBuilder().setWorkflowId(workflowId));
    }

    private CompletionStage<WorkflowReply> replaceConfiguration(FleetConfiguration configuration) {
        EventLog.information(
                Event.CONFIGURATION_APPLIED,
                "version",
                configuration.getVersion(),
                "held",
                leader.records().configuration().map(FleetConfiguration::getVersion).orElse(0L));
        return leader.propose(WorkflowCommand.newBuilder().setConfiguration(configuration))
                .thenApply(result -> commitReply(result, "configuration"));
    }

    private WorkflowReply commitReply(CommandResult result, String subject) {
        return switch (result.getVerdict()) {
            case ACCEPTED -> {
                leader.startRoundIfIdle();
                yield reply(Verdict.ACCEPTED, "").build();
            }
            case NOT_LEADER ->
                    reply(Verdict.NOT_LEADER, result.getMessage())
                            .setLeaderAddress(result.getLeaderAddress())
                            .build();
            default -> {
                EventLog.warning(
                        RequestLines.UNDECIDED,
                        Event.OUTCOME_UNKNOWN,
                        "subject",
                        subject,
                        "reason",
                        result.getMessage());
                yield reply(Verdict.UNCERTAIN, result.getMessage()).build();
            }
        };
    }

    private static WorkflowReply.Builder reply(Verdict verdict, String message) {
        return WorkflowReply.newBuilder().setVerdict(verdict).setMessage(message);
    }

    private static CompletionStage<WorkflowReply> completed(WorkflowReply.Builder reply) {
        return CompletableFuture.completedFuture(reply.build());
    }
}
