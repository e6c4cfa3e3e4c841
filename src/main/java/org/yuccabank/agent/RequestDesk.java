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
 * Admits requests of entries, sends them to the target and answers them.
 *
 * <p>Invariant: a request is answered "not run" only before its dispatch or when the target surely
 * did not get it, and an at-most-once request never runs after that answer under the same claim.
 * Not thread-safe.
 */
final class RequestDesk {

    private final long incarnation;
    private final AgentOptions options;
    private final AgentConfiguration.Limits limits;
    private final ConfigurationState rules;
    private final TargetPresence target;
    private final RequestLedger ledger;
    private final RequestGate gate = new RequestGate();
    private final RecentResults recent = new RecentResults();
    private final Consumer<AgentAction> output;
    private boolean closed;
    private long refusedCount;
    private long servedCount;

    RequestDesk(
            long incarnation,
            AgentOptions options,
            AgentConfiguration.Limits limits,
            ConfigurationState rules,
            TargetPresence target,
            Consumer<AgentAction> output) {
        this.incarnation = incarnation;
        this.options = options;
        this.limits = limits;
        this.rules = rules;
        this.target = target;
        this.ledger = RequestLedger.of(options);
        this.output = output;
    }

    /** Refuses new requests from now on, or admits them again. */
    void setClosed(boolean nowClosed) {
        closed = nowClosed;
    }

    void setLimits(int slots, int connections) {
        gate.setLimits(slots, connections);
    }

    /**
     * Takes a request of an entry.
     *
     * @param ready whether the state of the worker is known
     */
    void invoke(long ticket, Invoke request, long entryVersion, boolean ready, long nowMillis) {
        if (request.getAtMostOnce()) {
            Optional<InvokeResult> seen = seenBefore(request);
            if (seen.isPresent()) {
                output.accept(new AgentAction.Answer(ticket, seen.get()));
                return;
            }
        }
        Optional<String> refusal = refusalOf(request, entryVersion, ready, nowMillis);
        if (refusal.isPresent()) {
            refuse(ticket, request, entryVersion, refusal.get(), nowMillis);
            return;
        }
        if (request.getAtMostOnce()) {
            ledger.begin(request.getAccount(), request.getRequestId(), request.getFencingToken());
        }
        long deadline = nowMillis + request.getDeadlineMillis();
        gate.add(new RequestGate.Held(ticket, request, deadline, nowMillis));
        dispatch(nowMillis);
    }

    private Optional<InvokeResult> seenBefore(Invoke request) {
        String account = request.getAccount();
        String key = request.getRequestId();
        if (options.checkIncarnation() && request.getIncarnation() != incarnation) {
            // An earlier incarnation may have run it, so this is no evidence of "not run".
            return Optional.of(unknown("the claim names another incarnation"));
        }
        if (ledger.check(account, key, request.getFencingToken()) == RequestLedger.Verdict.NEW) {
            return Optional.empty();
        }
        return Optional.of(
                ledger.find(account, key)
                        .map(this::toResult)
                        .orElseGet(() -> unknown("the claim is older than what is remembered")));
    }

    private Optional<String> refusalOf(
            Invoke request, long entryVersion, boolean ready, long nowMillis) {
        if (closed) {
            return Optional.of("the agent is draining");
        }
        if (!ready || !rules.isConfirmed()) {
            return Optional.of("the agent has not confirmed its configuration");
        }
        if (entryVersion < rules.version()) {
            return Optional.of("the entry has an older configuration");
        }
        if (!target.isServing() || !target.serves(request.getKind())) {
            return Optional.of("no target serves this kind here");
        }
        boolean needsControl = request.getAtMostOnce() || !limits.serveIdempotentWithoutControl();
        if (needsControl && !rules.isLeased(nowMillis)) {
            return Optional.of("control has not confirmed the configuration recently");
        }
        if (request.getDeadlineMillis() == 0) {
            return Optional.of("the deadline has passed");
        }
        if (request.getAtMostOnce() && !ledger.hasRoom()) {
            return Optional.of("too many outcomes wait for control");
        }
        return gate.hasRoom() ? Optional.empty() : Optional.of("all connections are in use");
    }

    private void refuse(
            long ticket, Invoke request, long entryVersion, String reason, long nowMillis) {
        refusedCount++;
        if (request.getAtMostOnce()) {
            ledger.refuse(
                    request.getAccount(),
                    request.getRequestId(),
                    request.getFencingToken(),
                    nowMillis);
        }
        InvokeResult.Builder result = result(OutcomeKind.NOT_RUN).setReason(reason);
        if (entryVersion < rules.version()) {
            result.setRules(rules.rules());
        }
        output.accept(new AgentAction.Answer(ticket, result.build()));
    }

    /** Starts waiting requests and refuses those whose deadline has passed. */
    void dispatch(long nowMillis) {
        for (RequestGate.Held late : gate.removeLate(nowMillis)) {
            refuse(
                    late.ticket(),
                    late.request(),
                    Long.MAX_VALUE,
                    "the deadline passed before a slot was free",
                    nowMillis);
        }
        Optional<RequestGate.Held> next = gate.next(nowMillis);
        while (next.isPresent()) {
            output.accept(new AgentAction.Dispatch(next.get().ticket(), next.get().request()));
            next = gate.next(nowMillis);
        }
    }

    /** Takes the answer of the target. */
    void served(long ticket, ServeAnswer answer, long nowMillis) {
        Optional<RequestGate.Held> finished = gate.finish(ticket);
        if (finished.isEmpty()) {
            return;
        }
        RequestGate.Held held = finished.get();
        if (answer.kind() == ServeAnswer.Kind.NOT_SENT) {
            refuse(ticket, held.request(), Long.MAX_VALUE, answer.detail(), nowMillis);
        } else {
            finish(held, answer, nowMillis);
        }
        dispatch(nowMillis);
    }

    private void finish(RequestGate.Held held, ServeAnswer answer, long nowMillis) {
        boolean ran = answer.kind() == ServeAnswer.Kind.ANSWERED;
        Invoke request = held.request();
        ClaimOutcome outcome =
                RequestLedger.outcome(
                                request.getAccount(),
                                request.getRequestId(),
                                request.getFencingToken(),
                                ran ? OutcomeKind.RAN : OutcomeKind.UNKNOWN)
                        .setStatus(answer.status())
                        .setBody(answer.body())
                        .setContentType(answer.contentType())
                        .build();
        if (request.getAtMostOnce()) {
            ledger.end(outcome, nowMillis);
        } else if (ran) {
            recent.add(outcome);
        }
        if (ran) {
            servedCount++;
            target.recordServiceTime((nowMillis - held.startedAtMillis()) * 1_000);
        }
        InvokeResult result = toResult(outcome).toBuilder().setReason(answer.detail()).build();
        output.accept(new AgentAction.Answer(held.ticket(), result));
    }

    /**
     * Answers a question about a request.
     *
     * <p>A claim that names this incarnation and is not known is refused from now on, so that the
     * answer "not run" stays true when the request itself arrives late.
     */
    OutcomeAnswer query(OutcomeQuery query, long nowMillis) {
        String account = query.getAccount();
        String key = query.getRequestId();
        long token = query.getFencingToken();
        Optional<ClaimOutcome> known = ledger.find(account, key);
        if (known.isEmpty() && token == 0) {
            known = recent.find(account, key);
        }
        boolean fresh =
                token != 0 && ledger.check(account, key, token) == RequestLedger.Verdict.NEW;
        if (fresh) {
            ledger.refuse(account, key, token, nowMillis);
            known =
                    Optional.of(
                            RequestLedger.outcome(account, key, token, OutcomeKind.NOT_RUN)
                                    .build());
        }
        OutcomeAnswer.Builder answer = OutcomeAnswer.newBuilder();
        known.ifPresent(outcome -> answer.setFound(true).setOutcome(outcome));
        return answer.build();
    }

    /** The answer about a claim that another incarnation had, which may have run it. */
    static OutcomeAnswer unknownTo(OutcomeQuery query) {
        ClaimOutcome outcome =
                RequestLedger.outcome(
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

    private InvokeResult unknown(String reason) {
        return result(OutcomeKind.UNKNOWN).setReason(reason).setBody(ByteString.EMPTY).build();
    }

    private InvokeResult.Builder result(OutcomeKind outcome) {
        return InvokeResult.newBuilder()
                .setOutcome(outcome)
                .setTargetId(target.targetId())
                .setSlotsUsed(gate.held())
                .setSlots(gate.slots())
                .setServiceTimeMicros(target.serviceTimeMicros());
    }

    RequestLedger ledger() {
        return ledger;
    }

    int held() {
        return gate.held();
    }

    long refusedCount() {
        return refusedCount;
    }

    long servedCount() {
        return servedCount;
    }
}
