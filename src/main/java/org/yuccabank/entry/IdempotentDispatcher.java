package org.yuccabank.entry;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;
import org.yuccabank.model.TargetId;
import org.yuccabank.policy.routing.Admission;
import org.yuccabank.policy.routing.AdmissionController;
import org.yuccabank.policy.routing.AdmissionRequest;
import org.yuccabank.policy.routing.RetryBudget;
import org.yuccabank.policy.routing.Route;
import org.yuccabank.policy.routing.RouteRequest;
import org.yuccabank.policy.routing.Router;
import org.yuccabank.protocol.generated.Invoke;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Scheduler;

/**
 * Dispatches idempotent requests to targets and retries failed attempts within the retry budget.
 * Confined to the decision thread.
 */
final class IdempotentDispatcher {

    private static final int MAXIMUM_ATTEMPTS = 3;
    private static final long RETRY_AFTER_MILLIS = 1_000;

    private final EntryDirectory directory;
    private final AdmissionController admission;
    private final RetryBudget retryBudget;
    private final Scheduler decisionScheduler;
    private final LongSupplier clock;
    private final RandomGenerator random;

    IdempotentDispatcher(
            EntryDirectory directory,
            AdmissionController admission,
            RetryBudget retryBudget,
            Scheduler decisionScheduler,
            LongSupplier clock,
            RandomGenerator random) {
        this.directory = directory;
        this.admission = admission;
        this.retryBudget = retryBudget;
        this.decisionScheduler = decisionScheduler;
        this.clock = clock;
        this.random = random;
    }

    /**
     * Dispatches a request.
     *
     * @param request the request
     * @return the outcome; failed attempts are part of it and never signalled as errors
     */
    Mono<ServiceReply> serve(ServiceRequest request) {
        long nowMillis = clock.getAsLong();
        Optional<Router> router = directory.router(request.service());
        if (router.isEmpty()) {
            return notRun("no target announced service " + request.service(), RETRY_AFTER_MILLIS);
        }
        Optional<Route> route =
                router.get().choose(RouteRequest.of(request.deadline()), nowMillis, random);
        if (route.isEmpty()) {
            return notRun("no target takes requests at present", RETRY_AFTER_MILLIS);
        }
        Admission decision = admission.decide(admissionRequest(request, route.get()), nowMillis);
        if (decision instanceof Admission.Refused refused) {
            return notRun("refused: " + refused.reason(), refused.retryAfterMillis());
        }
        admission.started(request.account(), nowMillis);
        retryBudget.requestStarted(nowMillis);
        return attempt(request, router.get(), route.get(), new HashSet<>(), false);
    }

    private static AdmissionRequest admissionRequest(ServiceRequest request, Route route) {
        return new AdmissionRequest(
                request.account(), request.priority(), request.deadline(), route);
    }

    private static Mono<ServiceReply> notRun(String reason, long retryAfterMillis) {
        return Mono.just(new ServiceReply.NotRun(reason, retryAfterMillis));
    }

    private Mono<ServiceReply> attempt(
            ServiceRequest request,
            Router router,
            Route route,
            Set<TargetId> triedTargets,
            boolean earlierAttemptMayHaveRun) {
        TargetId target = route.target();
        EntryDirectory.Location location = directory.location(target).orElseThrow();
        triedTargets.add(target);
        router.dispatched(target, clock.getAsLong());
        return AgentCalls.invoke(location, invoke(request))
                .publishOn(decisionScheduler)
                .flatMap(
                        attempt ->
                                onAttemptCompleted(
                                        request,
                                        router,
                                        target,
                                        attempt,
                                        triedTargets,
                                        earlierAttemptMayHaveRun));
    }

    private Invoke invoke(ServiceRequest request) {
        return Invoke.newBuilder()
                .setRequestId(request.requestId())
                .setAccount(request.account().value())
                .setService(request.service())
                .setKind(request.kind().value())
                .setDeadlineMillis(request.deadline().remainingMillis(clock.getAsLong()))
                .setPriority(request.priority())
                .setContentType(request.contentType())
                .setBody(request.body())
                .build();
    }

    private Mono<ServiceReply> onAttemptCompleted(
            ServiceRequest request,
            Router router,
            TargetId target,
            AgentCalls.Attempt attempt,
            Set<TargetId> triedTargets,
            boolean earlierAttemptMayHaveRun) {
        long nowMillis = clock.getAsLong();
        router.completed(target, attempt.response(), nowMillis);
        if (attempt.result().hasRules()) {
            directory.updateRules(attempt.result().getRules());
        }
        if (attempt.ran()) {
            admission.finished(request.account(), attempt.response(), nowMillis);
            return Mono.just(ranReply(attempt, target));
        }
        boolean mayHaveRun = earlierAttemptMayHaveRun || !attempt.response().isEvidenceOfNotRun();
        Optional<Route> next = nextRoute(request, router, triedTargets, nowMillis);
        if (next.isPresent()) {
            return attempt(request, router, next.get(), triedTargets, mayHaveRun);
        }
        admission.finished(request.account(), attempt.response(), nowMillis);
        return mayHaveRun
                ? Mono.just(new ServiceReply.Unknown(attempt.error()))
                : notRun(attempt.error(), RETRY_AFTER_MILLIS);
    }

    private Optional<Route> nextRoute(
            ServiceRequest request, Router router, Set<TargetId> triedTargets, long nowMillis) {
        if (triedTargets.size() >= MAXIMUM_ATTEMPTS) {
            return Optional.empty();
        }
        Optional<Route> route =
                router.choose(
                        new RouteRequest(request.deadline(), Set.copyOf(triedTargets)),
                        nowMillis,
                        random);
        return route.filter(chosen -> retryBudget.tryAcquire(nowMillis));
    }

    private static ServiceReply ranReply(AgentCalls.Attempt attempt, TargetId target) {
        return new ServiceReply.Ran(
                attempt.result().getStatus(),
                attempt.result().getContentType(),
                attempt.result().getBody(),
                target.value());
    }
}
