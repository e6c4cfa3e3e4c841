package org.yuccabank.entry;

import java.time.Duration;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;
import org.yuccabank.event.Event;
import org.yuccabank.event.EventLog;
import org.yuccabank.model.TargetId;
import org.yuccabank.policy.routing.Route;
import org.yuccabank.policy.routing.RouteRequest;
import org.yuccabank.policy.routing.Router;
import org.yuccabank.protocol.PeerClient;
import org.yuccabank.protocol.PeerException;
import org.yuccabank.protocol.generated.ClaimOutcome;
import org.yuccabank.protocol.generated.ClaimRequest;
import org.yuccabank.protocol.generated.CommandRequest;
import org.yuccabank.protocol.generated.CommandResult;
import org.yuccabank.protocol.generated.CommandResult.Verdict;
import org.yuccabank.protocol.generated.Invoke;
import org.yuccabank.protocol.generated.InvokeResult;
import org.yuccabank.protocol.generated.OutcomeAnswer;
import org.yuccabank.protocol.generated.OutcomeKind;
import org.yuccabank.protocol.generated.OutcomeQuery;
import org.yuccabank.protocol.generated.ReportOutcome;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Scheduler;

/**
 * Dispatches requests that must run at most once. Confined to the decision thread.
 *
 * <p>Invariants: a request is sent only under a committed claim, and only once per claim; a claim
 * is replaced only after control has recorded that the claimed request did not run; after a lost
 * response the agent is queried for the outcome, and the request is never sent again.
 */
final class AtMostOnceDispatcher {

    private static final int MAXIMUM_CLAIMS = 3;
    private static final int MAXIMUM_OUTCOME_QUERIES = 10;
    private static final Duration OUTCOME_QUERY_INTERVAL = Duration.ofMillis(500);
    private static final long RETRY_AFTER_MILLIS = 1_000;

    private final EntryDirectory directory;
    private final ControlClient controlClient;
    private final Scheduler decisionScheduler;
    private final LongSupplier clock;
    private final RandomGenerator random;

    AtMostOnceDispatcher(
            EntryDirectory directory,
            ControlClient controlClient,
            Scheduler decisionScheduler,
            LongSupplier clock,
            RandomGenerator random) {
        this.directory = directory;
        this.controlClient = controlClient;
        this.decisionScheduler = decisionScheduler;
        this.clock = clock;
        this.random = random;
    }

    /**
     * The agent that holds a claim.
     *
     * @param hostId identifier of the agent's host
     * @param incarnation incarnation of the agent named in the claim
     * @param token fencing token of the claim
     */
    private record ClaimHolder(String hostId, long incarnation, long token) {

        static ClaimHolder of(CommandResult result) {
            return new ClaimHolder(
                    result.getIdentifier(), result.getIncarnation(), result.getFencingToken());
        }
    }

    /** Claims and attempted targets of a request. */
    private static final class RequestState {
        private final ServiceRequest request;
        private final Set<TargetId> triedTargets = new HashSet<>();
        private int claimCount;
        private long replacedToken;

        private RequestState(ServiceRequest request) {
            this.request = request;
        }
    }

    /**
     * Dispatches a request.
     *
     * @param request the request, identified by the caller's idempotency key
     * @return the outcome; failed attempts are part of it and never signalled as errors
     */
    Mono<ServiceReply> serve(ServiceRequest request) {
        return claimTarget(new RequestState(request));
    }

    private Mono<ServiceReply> claimTarget(RequestState state) {
        ServiceRequest request = state.request;
        Optional<Router> router = directory.router(request.service());
        Optional<Route> route =
                router.flatMap(
                        serviceRouter ->
                                serviceRouter.choose(
                                        new RouteRequest(
                                                request.deadline(), Set.copyOf(state.triedTargets)),
                                        clock.getAsLong(),
                                        random));
        if (route.isEmpty() || state.claimCount >= MAXIMUM_CLAIMS) {
            return notRun("no target takes requests at present");
        }
        state.claimCount++;
        TargetId target = route.get().target();
        EntryDirectory.Location location = directory.location(target).orElseThrow();
        return controlClient
                .sendCommand(claimCommand(state, location))
                .publishOn(decisionScheduler)
                .flatMap(
                        result ->
                                onClaimResult(
                                        state, router.orElseThrow(), target, location, result))
                .onErrorResume(
                        PeerException.class,
                        error ->
                                error.isInDoubt()
                                        ? unknown("control did not confirm the claim")
                                        : notRun("control cannot be reached"));
    }

    private static CommandRequest claimCommand(
            RequestState state, EntryDirectory.Location location) {
        ServiceRequest request = state.request;
        ClaimRequest claim =
                ClaimRequest.newBuilder()
                        .setKey(request.requestId())
                        .setKind(request.kind().value())
                        .setHostId(location.hostId())
                        .setIncarnation(location.incarnation())
                        .setReplacesToken(state.replacedToken)
                        .setRequestDigest(RequestDigest.of(request))
                        .build();
        return CommandRequest.newBuilder()
                .setAccount(request.account().value())
                .setClaim(claim)
                .build();
    }

    private Mono<ServiceReply> onClaimResult(
            RequestState state,
            Router router,
            TargetId target,
            EntryDirectory.Location location,
            CommandResult result) {
        return switch (result.getVerdict()) {
            case ACCEPTED -> send(state, router, target, location, result.getFencingToken());
            case CONFLICT -> onExistingClaim(state, result);
            case REJECTED ->
                    result.getMessage().startsWith("the agent")
                            ? notRun(result.getMessage())
                            : Mono.just(new ServiceReply.Conflict(result.getMessage()));
            case NOT_LEADER -> notRun("control has no leader");
            default -> unknown(result.getMessage());
        };
    }

    private Mono<ServiceReply> send(
            RequestState state,
            Router router,
            TargetId target,
            EntryDirectory.Location location,
            long token) {
        state.triedTargets.add(target);
        router.dispatched(target, clock.getAsLong());
        return AgentCalls.invoke(location, invoke(state.request, location, token))
                .publishOn(decisionScheduler)
                .flatMap(
                        attempt -> {
                            router.completed(target, attempt.response(), clock.getAsLong());
                            return onAttemptCompleted(state, target, location, token, attempt);
                        });
    }

    private Invoke invoke(ServiceRequest request, EntryDirectory.Location location, long token) {
        return Invoke.newBuilder()
                .setRequestId(request.requestId())
                .setAccount(request.account().value())
                .setService(request.service())
                .setKind(request.kind().value())
                .setDeadlineMillis(request.deadline().remainingMillis(clock.getAsLong()))
                .setAtMostOnce(true)
                .setFencingToken(token)
                .setIncarnation(location.incarnation())
                .setPriority(request.priority())
                .setContentType(request.contentType())
                .setBody(request.body())
                .build();
    }

    private Mono<ServiceReply> onAttemptCompleted(
            RequestState state,
            TargetId target,
            EntryDirectory.Location location,
            long token,
            AgentCalls.Attempt attempt) {
        if (attempt.result().hasRules()) {
            directory.updateRules(attempt.result().getRules());
        }
        if (attempt.ran()) {
            // The agent reports the outcome too; this report only informs control sooner.
            reportOutcome(ranOutcome(state.request, token, attempt.result())).subscribe();
            return Mono.just(ranReply(attempt.result(), target.value()));
        }
        if (attempt.response().isEvidenceOfNotRun()) {
            return replaceClaim(state, token);
        }
        EventLog.warning(
                Event.OUTCOME_UNKNOWN,
                "request",
                state.request.requestId(),
                "host",
                location.hostId(),
                "cause",
                attempt.error());
        return resolveOutcome(
                state, new ClaimHolder(location.hostId(), location.incarnation(), token), 0);
    }

    private static ServiceReply ranReply(InvokeResult result, String target) {
        return new ServiceReply.Ran(
                result.getStatus(), result.getContentType(), result.getBody(), target);
    }

    /** Reports to control that the claimed request did not run, then claims another target. */
    private Mono<ServiceReply> replaceClaim(RequestState state, long token) {
        ClaimOutcome notRunOutcome =
                ClaimOutcome.newBuilder()
                        .setKey(state.request.requestId())
                        .setAccount(state.request.account().value())
                        .setFencingToken(token)
                        .setOutcome(OutcomeKind.NOT_RUN)
                        .build();
        return reportOutcome(notRunOutcome)
                .publishOn(decisionScheduler)
                .flatMap(
                        recorded -> {
                            if (!recorded) {
                                return notRun("the target refused the request");
                            }
                            state.replacedToken = token;
                            return claimTarget(state);
                        });
    }

    private Mono<Boolean> reportOutcome(ClaimOutcome outcome) {
        CommandRequest request =
                CommandRequest.newBuilder()
                        .setAccount(outcome.getAccount())
                        .setReportOutcome(ReportOutcome.newBuilder().setOutcome(outcome))
                        .build();
        return controlClient
                .sendCommand(request)
                .map(result -> result.getVerdict() == Verdict.ACCEPTED)
                .onErrorReturn(PeerException.class, false);
    }

    private static ClaimOutcome ranOutcome(
            ServiceRequest request, long token, InvokeResult result) {
        return ClaimOutcome.newBuilder()
                .setKey(request.requestId())
                .setAccount(request.account().value())
                .setFencingToken(token)
                .setOutcome(OutcomeKind.RAN)
                .setStatus(result.getStatus())
                .setContentType(result.getContentType())
                .setBody(result.getBody())
                .build();
    }

    private Mono<ServiceReply> onExistingClaim(RequestState state, CommandResult result) {
        ClaimOutcome outcome = result.getClaimOutcome();
        return switch (outcome.getOutcome()) {
            case RAN -> Mono.just(storedReply(outcome));
            case NOT_RUN -> {
                state.replacedToken = result.getFencingToken();
                yield claimTarget(state);
            }
            case IN_PROGRESS -> queryAgainLater(state, ClaimHolder.of(result), 0);
            default -> unknown("the target was restarted while the request ran");
        };
    }

    static ServiceReply storedReply(ClaimOutcome outcome) {
        return new ServiceReply.Ran(
                outcome.getStatus(), outcome.getContentType(), outcome.getBody(), "");
    }

    /**
     * Queries the agent that holds a claim until the outcome is known. The request is reported as
     * in progress after {@value #MAXIMUM_OUTCOME_QUERIES} queries.
     */
    private Mono<ServiceReply> resolveOutcome(
            RequestState state, ClaimHolder holder, int queryCount) {
        Optional<PeerClient> agent = directory.agentOfHost(holder.hostId());
        if (agent.isEmpty() || queryCount >= MAXIMUM_OUTCOME_QUERIES) {
            return Mono.just(new ServiceReply.InProgress());
        }
        OutcomeQuery query =
                OutcomeQuery.newBuilder()
                        .setRequestId(state.request.requestId())
                        .setAccount(state.request.account().value())
                        .setFencingToken(holder.token())
                        .setIncarnation(holder.incarnation())
                        .build();
        return AgentCalls.queryOutcome(agent.get(), query)
                .map(OutcomeAnswer::getOutcome)
                .defaultIfEmpty(ClaimOutcome.getDefaultInstance())
                .publishOn(decisionScheduler)
                .flatMap(
                        outcome ->
                                switch (outcome.getOutcome()) {
                                    case RAN -> {
                                        reportOutcome(outcome).subscribe();
                                        yield Mono.just(storedReply(outcome));
                                    }
                                    case NOT_RUN -> replaceClaim(state, holder.token());
                                    case UNKNOWN -> unknown("the agent does not know the outcome");
                                    default -> queryAgainLater(state, holder, queryCount);
                                });
    }

    private Mono<ServiceReply> queryAgainLater(
            RequestState state, ClaimHolder holder, int queryCount) {
        return Mono.delay(OUTCOME_QUERY_INTERVAL, decisionScheduler)
                .flatMap(tick -> resolveOutcome(state, holder, queryCount + 1));
    }

    private static Mono<ServiceReply> notRun(String reason) {
        return Mono.just(new ServiceReply.NotRun(reason, RETRY_AFTER_MILLIS));
    }

    private static Mono<ServiceReply> unknown(String reason) {
        return Mono.just(new ServiceReply.Unknown(reason));
    }
}
