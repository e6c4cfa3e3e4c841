package org.yuccabank.agent;

import com.google.protobuf.ByteString;
import java.util.Optional;
import java.util.function.Consumer;
import org.yuccabank.protocol.generated.ClaimOutcome;
import org.yuccabank.protocol.generated.Invoke;
import org.yuccabank.protocol.generated.InvokeResult;
import org.yuccabank.protocol.generated.OutcomeAnswer;
import org.yuccabank.protocol.generated.OutcomeKind;
import org.yuccabank.protocol.generated.OutcomeQuery;

/**
 * Admits requests from entries, dispatches them to the target and answers them.
 *
 * <p>Invariant: a request is answered as not run only before its dispatch or if it is certain that
 * the target did not receive it; an at-most-once request never runs under the same claim after that
 * answer. Not thread-safe.
 */
final class RequestHandler {

    private final long incarnation;
    private final AgentOptions options;
    private final AgentConfiguration.Limits limits;
    private final ConfigurationState configurationState;
    private final TargetRegistration target;
    private final ClaimTable claimTable;
    private final RequestQueue queue = new RequestQueue();
    private final RecentResults recentResults = new RecentResults();
    private final Consumer<AgentAction> actions;
    private boolean closed;
    private long refusedCount;
    private long servedCount;

    RequestHandler(
            long incarnation,
            AgentOptions options,
            AgentConfiguration.Limits limits,
            ConfigurationState configurationState,
            TargetRegistration target,
            Consumer<AgentAction> actions) {
        this.incarnation = incarnation;
        this.options = options;
        this.limits = limits;
        this.configurationState = configurationState;
        this.target = target;
        this.claimTable = ClaimTable.of(options);
        this.actions = actions;
    }

    /** Sets whether new requests are refused. */
    void setClosed(boolean nowClosed) {
        closed = nowClosed;
    }

    void setLimits(int slots, int connections) {
        queue.setLimits(slots, connections);
    }

    /**
     * Admits or refuses a request from an entry.
     *
     * @param entryVersion configuration version of the entry
     * @param ready whether the state of the worker is known
     */
    void invoke(
            long requestNumber, Invoke request, long entryVersion, boolean ready, long nowMillis) {
        if (request.getAtMostOnce()) {
            Optional<InvokeResult> previousResult = findPreviousResult(request);
            if (previousResult.isPresent()) {
                actions.accept(new AgentAction.Answer(requestNumber, previousResult.get()));
                return;
            }
        }
        Optional<String> refusal = findRefusal(request, entryVersion, ready, nowMillis);
        if (refusal.isPresent()) {
            refuse(requestNumber, request, entryVersion, refusal.get(), nowMillis);
            return;
        }
        if (request.getAtMostOnce()) {
            claimTable.begin(
                    request.getAccount(), request.getRequestId(), request.getFencingToken());
        }
        long deadline = nowMillis + request.getDeadlineMillis();
        queue.add(new RequestQueue.AdmittedRequest(requestNumber, request, deadline, nowMillis));
        dispatch(nowMillis);
    }

    private Optional<InvokeResult> findPreviousResult(Invoke request) {
        String account = request.getAccount();
        String key = request.getRequestId();
        if (options.checkIncarnation() && request.getIncarnation() != incarnation) {
            // An earlier incarnation may have run it, so it must not be reported as not run.
            return Optional.of(unknownResult("the claim names another incarnation"));
        }
        if (claimTable.check(account, key, request.getFencingToken()) == ClaimTable.Verdict.NEW) {
            return Optional.empty();
        }
        return Optional.of(
                claimTable
                        .find(account, key)
                        .map(this::toResult)
                        .orElseGet(
                                () -> unknownResult("the claim is older than what is remembered")));
    }

    private Optional<String> findRefusal(
            Invoke request, long entryVersion, boolean ready, long nowMillis) {
        if (closed) {
            return Optional.of("the agent is draining");
        }
        if (!ready || !configurationState.isConfirmed()) {
            return Optional.of("the agent has not confirmed its configuration");
        }
        if (entryVersion < configurationState.version()) {
            return Optional.of("the entry has an older configuration");
        }
        if (!target.isServing() || !target.serves(request.getKind())) {
            return Optional.of("no target serves this kind here");
        }
        boolean needsControl = request.getAtMostOnce() || !limits.serveIdempotentWithoutControl();
        if (needsControl && !configurationState.hasValidLease(nowMillis)) {
            return Optional.of("control has not confirmed the configuration recently");
        }
        if (request.getDeadlineMillis() == 0) {
            return Optional.of("the deadline has passed");
        }
        if (request.getAtMostOnce() && !claimTable.hasCapacity()) {
            return Optional.of("too many outcomes wait for control");
        }
        return queue.hasCapacity() ? Optional.empty() : Optional.of("all connections are in use");
    }

    private void refuse(
            long requestNumber, Invoke request, long entryVersion, String reason, long nowMillis) {
        refusedCount++;
        if (request.getAtMostOnce()) {
            claimTable.refuse(
                    request.getAccount(),
                    request.getRequestId(),
                    request.getFencingToken(),
                    nowMillis);
        }
        InvokeResult.Builder result = result(OutcomeKind.NOT_RUN).setReason(reason);
        if (entryVersion < configurationState.version()) {
            result.setRules(configurationState.rules());
        }
        actions.accept(new AgentAction.Answer(requestNumber, result.build()));
    }

    /** Starts waiting requests and refuses those whose deadline has passed. */
    void dispatch(long nowMillis) {
        for (RequestQueue.AdmittedRequest expired : queue.removeExpired(nowMillis)) {
            refuse(
                    expired.requestNumber(),
                    expired.request(),
                    Long.MAX_VALUE,
                    "the deadline passed before a slot was free",
                    nowMillis);
        }
        Optional<RequestQueue.AdmittedRequest> next = queue.startNext(nowMillis);
        while (next.isPresent()) {
            actions.accept(
                    new AgentAction.Dispatch(next.get().requestNumber(), next.get().request()));
            next = queue.startNext(nowMillis);
        }
    }

    /** Handles the result of a request to the target. */
    void onServeResult(long requestNumber, ServeResult serveResult, long nowMillis) {
        Optional<RequestQueue.AdmittedRequest> finished = queue.finish(requestNumber);
        if (finished.isEmpty()) {
            return;
        }
        RequestQueue.AdmittedRequest admitted = finished.get();
        if (serveResult.kind() == ServeResult.Kind.NOT_SENT) {
            refuse(
                    requestNumber,
                    admitted.request(),
                    Long.MAX_VALUE,
                    serveResult.detail(),
                    nowMillis);
        } else {
            finish(admitted, serveResult, nowMillis);
        }
        dispatch(nowMillis);
    }

    private void finish(
            RequestQueue.AdmittedRequest admitted, ServeResult serveResult, long nowMillis) {
        boolean ran = serveResult.kind() == ServeResult.Kind.ANSWERED;
        Invoke request = admitted.request();
        ClaimOutcome outcome =
                ClaimTable.outcome(
                                request.getAccount(),
                                request.getRequestId(),
                                request.getFencingToken(),
                                ran ? OutcomeKind.RAN : OutcomeKind.UNKNOWN)
                        .setStatus(serveResult.status())
                        .setBody(serveResult.body())
                        .setContentType(serveResult.contentType())
                        .build();
        if (request.getAtMostOnce()) {
            claimTable.end(outcome, nowMillis);
        } else if (ran) {
            recentResults.add(outcome);
        }
        if (ran) {
            servedCount++;
            target.recordServiceTime((nowMillis - admitted.startedAtMillis()) * 1_000);
        }
        InvokeResult result = toResult(outcome).toBuilder().setReason(serveResult.detail()).build();
        actions.accept(new AgentAction.Answer(admitted.requestNumber(), result));
    }

    /**
     * Returns what is known about the outcome of a request.
     *
     * <p>An unknown claim on this incarnation is recorded as refused, so that the answer "not run"
     * remains true if the request itself arrives later.
     */
    OutcomeAnswer query(OutcomeQuery query, long nowMillis) {
        String account = query.getAccount();
        String key = query.getRequestId();
        long token = query.getFencingToken();
        Optional<ClaimOutcome> knownOutcome = claimTable.find(account, key);
        if (knownOutcome.isEmpty() && token == 0) {
            knownOutcome = recentResults.find(account, key);
        }
        boolean newClaim =
                token != 0 && claimTable.check(account, key, token) == ClaimTable.Verdict.NEW;
        if (newClaim) {
            claimTable.refuse(account, key, token, nowMillis);
            knownOutcome =
                    Optional.of(
                            ClaimTable.outcome(account, key, token, OutcomeKind.NOT_RUN).build());
        }
        OutcomeAnswer.Builder answer = OutcomeAnswer.newBuilder();
        knownOutcome.ifPresent(outcome -> answer.setFound(true).setOutcome(outcome));
        return answer.build();
    }

    /** Returns the answer for a claim on another incarnation, which may have run the request. */
    static OutcomeAnswer unknownOutcome(OutcomeQuery query) {
        ClaimOutcome outcome =
                ClaimTable.outcome(
                                query.getAccount(),
                                query.getRequestId(),
                                query.getFencingToken(),
                                OutcomeKind.UNKNOWN)
                        .build();
        return OutcomeAnswer.newBuilder().setFound(true).setOutcome(outcome).build();
    }

    private InvokeResult toResult(ClaimOutcome outcome) {
        return result(outcome.getOutcome())
                .setStatus(outcome.getStatus())
                .setBody(outcome.getBody())
                .setContentType(outcome.getContentType())
                .build();
    }

    private InvokeResult unknownResult(String reason) {
        return result(OutcomeKind.UNKNOWN).setReason(reason).setBody(ByteString.EMPTY).build();
    }

    private InvokeResult.Builder result(OutcomeKind outcome) {
        return InvokeResult.newBuilder()
                .setOutcome(outcome)
                .setTargetId(target.targetId())
                .setSlotsUsed(queue.admittedCount())
                .setSlots(queue.slots())
                .setServiceTimeMicros(target.serviceTimeMicros());
    }

    ClaimTable claimTable() {
        return claimTable;
    }

    int admittedCount() {
        return queue.admittedCount();
    }

    long refusedCount() {
        return refusedCount;
    }

    long servedCount() {
        return servedCount;
    }
}
