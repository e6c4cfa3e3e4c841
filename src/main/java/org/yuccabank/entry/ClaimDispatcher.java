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
 * Serves requests that run at most once. Confined to the decision thread.
 *
 * <p>Invariants: a request is sent only under a committed claim and once per claim; a claim is
 * replaced only after control recorded evidence that it did not run; a lost answer is settled by a
 * question, never by sending again.
 */
final class ClaimDispatcher {

    private static final int MAXIMUM_CLAIMS = 3;
    private static final int MAXIMUM_QUESTIONS = 10;
    private static final Duration QUESTION_INTERVAL = Duration.ofMillis(500);
    private static final long RETRY_AFTER_MILLIS = 1_000;

    private final EntryDirectory directory;
    private final ControlContact control;
    private final Scheduler decisions;
    private final LongSupplier clock;
    private final RandomGenerator random;

    ClaimDispatcher(
            EntryDirectory directory,
            ControlContact control,
            Scheduler decisions,
            LongSupplier clock,
            RandomGenerator random) {
        this.directory = directory;
        this.control = control;
        this.decisions = decisions;
        this.clock = clock;
        this.random = random;
    }

    /**
     * Who holds a claim.
     *
     * @param hostId host of the agent
     * @param incarnation incarnation of the agent that the claim names
     * @param token fencing token of the claim
     */
    private record Holder(String hostId, long incarnation, long token) {

        static Holder of(CommandResult existing) {
            return new Holder(
                    existing.getIdentifier(),
                    existing.getIncarnation(),
                    existing.getFencingToken());
        }
    }

    /** Progress of one request. */
    private static final class Progress {
        private final ServiceRequest request;
        private final Set<TargetId> tried = new HashSet<>();
        private int claims;
        private long replacedToken;

        private Progress(ServiceRequest request) {
            this.request = request;
        }
    }

    /**
     * Serves a request.
     *
     * @param request the request, with the caller's idempotency key as its identifier
     * @return what became of it; never an error
     */
    Mono<ServiceReply> serve(ServiceRequest request) {
        return claim(new Progress(request));
    }

    private Mono<ServiceReply> claim(Progress progress) {
        ServiceRequest request = progress.request;
        Optional<Router> router = directory.router(request.service());
        Optional<Route> route =
                router.flatMap(
                        known ->
                                known.choose(
                                        new RouteRequest(
                                                request.deadline(), Set.copyOf(progress.tried)),
                                        clock.getAsLong(),
                                        random));
        if (route.isEmpty() || progress.claims >= MAXIMUM_CLAIMS) {
            return notRun("no target takes requests at present");
        }
        progress.claims++;
        TargetId target = route.get().target();
        EntryDirectory.Location location = directory.location(target).orElseThrow();
        return control.command(claimCommand(progress, location))
                .publishOn(decisions)
                .flatMap(
                        result -> claimed(progress, router.orElseThrow(), target, location, result))
                .onErrorResume(
                        PeerException.class,
                        error ->
                                error.isInDoubt()
                                        ? unknown("control did not confirm the claim")
                                        : notRun("control cannot be reached"));
    }

    private static CommandRequest claimCommand(
            Progress progress, EntryDirectory.Location location) {
        ServiceRequest request = progress.request;
        ClaimRequest claim =
                ClaimRequest.newBuilder()
                        .setKey(request.requestId())
                        .setKind(request.kind().value())
                        .setHostId(location.hostId())
                        .setIncarnation(location.incarnation())
                        .setReplacesToken(progress.replacedToken)
                        .setRequestDigest(RequestDigest.of(request))
                        .build();
        return CommandRequest.newBuilder()
                .setAccount(request.account().value())
                .setClaim(claim)
                .build();
    }

    private Mono<ServiceReply> claimed(
            Progress progress,
            Router router,
            TargetId target,
            EntryDirectory.Location location,
            CommandResult result) {
        return switch (result.getVerdict()) {
            case ACCEPTED -> send(progress, router, target, location, result.getFencingToken());
            case CONFLICT -> existing(progress, result);
            case REJECTED ->
                    result.getMessage().startsWith("the agent")
                            ? notRun(result.getMessage())
                            : Mono.just(new ServiceReply.Conflict(result.getMessage()));
            case NOT_LEADER -> notRun("control has no leader");
            default -> unknown(result.getMessage());
        };
    }

    private Mono<ServiceReply> send(
            Progress progress,
            Router router,
            TargetId target,
            EntryDirectory.Location location,
            long token) {
        progress.tried.add(target);
        router.dispatched(target, clock.getAsLong());
        return AgentCalls.invoke(location, invoke(progress.request, location, token))
                .publishOn(decisions)
                .flatMap(
                        attempt -> {
                            router.completed(target, attempt.response(), clock.getAsLong());
                            return sent(progress, target, location, token, attempt);
                        });
    }

    private Invoke invoke(ServiceRequest request, EntryDirectory.Location location, long token) {
        return Invoke.newBuilder()
                .setRequestId(request.requestId())
                .setAccount(request.account().value())
                .setService(request.service())
                .setKind(request.kind().value())
                .setDeadlineMillis(request.deadline().millisLeft(clock.getAsLong()))
                .setAtMostOnce(true)
                .setFencingToken(token)
                .setIncarnation(location.incarnation())
                .setPriority(request.priority())
                .setContentType(request.contentType())
                .setBody(request.body())
                .build();
    }

    private Mono<ServiceReply> sent(
            Progress progress,
            TargetId target,
            EntryDirectory.Location location,
            long token,
            AgentCalls.Attempt attempt) {
        if (attempt.result().hasRules()) {
            directory.updateRules(attempt.result().getRules());
        }
        if (attempt.ran()) {
            // The agent reports the outcome too; this report only makes it known sooner.
            report(outcome(progress.request, token, attempt.result())).subscribe();
            return Mono.just(ran(attempt.result(), target.value()));
        }
        if (attempt.response().isEvidenceOfNotRun()) {
            return replace(progress, token);
        }
        EventLog.warning(
                Event.OUTCOME_UNKNOWN,
                "request",
                progress.request.requestId(),
                "host",
                location.hostId(),
                "cause",
                attempt.error());
        return settle(progress, new Holder(location.hostId(), location.incarnation(), token), 0);
    }

    private static ServiceReply ran(InvokeResult result, String target) {
        return new ServiceReply.Ran(
                result.getStatus(), result.getContentType(), result.getBody(), target);
    }

    /** Records the evidence that a claim did not run, then claims another target. */
    private Mono<ServiceReply> replace(Progress progress, long token) {
        ClaimOutcome notRun =
                ClaimOutcome.newBuilder()
                        .setKey(progress.request.requestId())
                        .setAccount(progress.request.account().value())
                        .setFencingToken(token)
                        .setOutcome(OutcomeKind.NOT_RUN)
                        .build();
        return report(notRun)
                .publishOn(decisions)
                .flatMap(
                        recorded -> {
                            if (!recorded) {
                                return notRun("the target refused the request");
                            }
                            progress.replacedToken = token;
                            return claim(progress);
                        });
    }

    private Mono<Boolean> report(ClaimOutcome outcome) {
        CommandRequest request =
                CommandRequest.newBuilder()
                        .setAccount(outcome.getAccount())
                        .setReportOutcome(ReportOutcome.newBuilder().setOutcome(outcome))
                        .build();
        return control.command(request)
                .map(result -> result.getVerdict() == Verdict.ACCEPTED)
                .onErrorReturn(PeerException.class, false);
    }

    private static ClaimOutcome outcome(ServiceRequest request, long token, InvokeResult result) {
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

    private Mono<ServiceReply> existing(Progress progress, CommandResult result) {
        ClaimOutcome known = result.getClaimOutcome();
        return switch (known.getOutcome()) {
            case RAN -> Mono.just(remembered(known));
            case NOT_RUN -> {
                progress.replacedToken = result.getFencingToken();
                yield claim(progress);
            }
            case IN_PROGRESS -> askAgain(progress, Holder.of(result), 0);
            default -> unknown("the target was restarted while the request ran");
        };
    }

    static ServiceReply remembered(ClaimOutcome outcome) {
        return new ServiceReply.Ran(
                outcome.getStatus(), outcome.getContentType(), outcome.getBody(), "");
    }

    /** Asks the agent that holds a claim until the outcome is known. */
    private Mono<ServiceReply> settle(Progress progress, Holder holder, int questions) {
        Optional<PeerClient> agent = directory.agentOf(holder.hostId());
        if (agent.isEmpty() || questions >= MAXIMUM_QUESTIONS) {
            return Mono.just(new ServiceReply.InProgress());
        }
        OutcomeQuery query =
                OutcomeQuery.newBuilder()
                        .setRequestId(progress.request.requestId())
                        .setAccount(progress.request.account().value())
                        .setFencingToken(holder.token())
                        .setIncarnation(holder.incarnation())
                        .build();
        return AgentCalls.query(agent.get(), query)
                .map(OutcomeAnswer::getOutcome)
                .defaultIfEmpty(ClaimOutcome.getDefaultInstance())
                .publishOn(decisions)
                .flatMap(
                        answer ->
                                switch (answer.getOutcome()) {
                                    case RAN -> {
                                        report(answer).subscribe();
                                        yield Mono.just(remembered(answer));
                                    }
                                    case NOT_RUN -> replace(progress, holder.token());
                                    case UNKNOWN -> unknown("the agent does not know the outcome");
                                    default -> askAgain(progress, holder, questions);
                                });
    }

    private Mono<ServiceReply> askAgain(Progress progress, Holder holder, int questions) {
        return Mono.delay(QUESTION_INTERVAL, decisions)
                .flatMap(tick -> settle(progress, holder, questions + 1));
    }

    private static Mono<ServiceReply> notRun(String reason) {
        return Mono.just(new ServiceReply.NotRun(reason, RETRY_AFTER_MILLIS));
    }

    private static Mono<ServiceReply> unknown(String reason) {
        return Mono.just(new ServiceReply.Unknown(reason));
    }
}
