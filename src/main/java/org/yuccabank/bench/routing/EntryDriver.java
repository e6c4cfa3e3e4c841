package org.yuccabank.bench.routing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.yuccabank.model.AccountId;
import org.yuccabank.model.Outcome;
import org.yuccabank.model.TargetId;
import org.yuccabank.policy.routing.Admission;
import org.yuccabank.policy.routing.AdmissionRequest;
import org.yuccabank.policy.routing.Candidate;
import org.yuccabank.policy.routing.Deadline;
import org.yuccabank.policy.routing.Response;
import org.yuccabank.policy.routing.Route;
import org.yuccabank.policy.routing.RouteRequest;

/** Simulated entry process that calls the routing policies as the entry role does. Mutable. */
final class EntryDriver {

    /** Time after which an attempt to connect to a silent host fails. */
    private static final long CONNECT_TIMEOUT_MICROS = 200_000;

    private final RoutingScenario scenario;
    private final EventQueue events;
    private final Recorder recorder;
    private final RandomGenerator random;
    private final int dataCentre;
    private final EntryPolicies policies;
    private final Map<TargetId, FakeTarget> targets = new HashMap<>();
    private final Set<TargetId> disconnected = new HashSet<>();
    private final Set<Attempt> inProgress = new LinkedHashSet<>();
    private final List<AccountId> accounts;
    private boolean lost;

    EntryDriver(
            RoutingScenario scenario,
            EventQueue events,
            Recorder recorder,
            RandomGenerator random,
            int dataCentre,
            List<FakeTarget> targets,
            List<AccountId> accounts) {
        this.scenario = scenario;
        this.events = events;
        this.recorder = recorder;
        this.random = random;
        this.dataCentre = dataCentre;
        this.accounts = accounts;
        this.policies = EntryPolicies.of(scenario, targets);
        for (FakeTarget target : targets) {
            this.targets.put(target.id(), target);
            updateTarget(target, Candidate.State.READY);
        }
    }

    long oneWayMicros(FakeTarget target) {
        return scenario.example().oneWayMicros(dataCentre, target.dataCentre());
    }

    /** Applies a change of the directory entry of a target. */
    void updateTarget(FakeTarget target, Candidate.State state) {
        Candidate candidate =
                new Candidate(
                        target.id(),
                        oneWayMicros(target),
                        RoutingScenario.SLOTS,
                        RoutingScenario.CONNECTIONS,
                        state);
        policies.router().update(candidate, events.nowMillis());
    }

    boolean isLost() {
        return lost;
    }

    /** Handles a request from a caller. */
    void receive(Request request) {
        long now = events.nowMillis();
        request.deadline(Deadline.after(now, request.kind().deadlineMillis()));
        Optional<Route> route =
                policies.router().choose(RouteRequest.of(request.deadline()), now, random);
        if (route.isEmpty() || !isAdmitted(request, route.get(), now)) {
            recorder.refused(request);
            return;
        }
        recorder.admitted(request);
        policies.admission().started(accountOf(request), now);
        policies.retries().requestStarted(now);
        send(request, route.get().target(), false, false);
        policies.hedges()
                .delayMillis(request.kind().idempotent(), now)
                .ifPresent(delay -> events.scheduleAfter(delay * 1000, () -> hedge(request)));
    }

    private boolean isAdmitted(Request request, Route route, long nowMillis) {
        AdmissionRequest admission =
                new AdmissionRequest(
                        accountOf(request), request.kind().priority(), request.deadline(), route);
        return policies.admission().decide(admission, nowMillis) instanceof Admission.Admitted;
    }

    private AccountId accountOf(Request request) {
        return accounts.get(request.account());
    }

    private void send(Request request, TargetId id, boolean isRetry, boolean isHedge) {
        FakeTarget target = targets.get(id);
        Attempt attempt = new Attempt(request, this, target, events.nowMicros());
        policies.router().dispatched(id, events.nowMillis());
        recorder.sent(request, isRetry, isHedge);
        request.addInProgress(1);
        inProgress.add(attempt);
        if (disconnected.contains(id)) {
            Response unreachable = Response.without(Response.Kind.UNREACHABLE);
            events.scheduleAfter(
                    CONNECT_TIMEOUT_MICROS, () -> onAttemptEnded(attempt, unreachable));
        } else {
            target.send(attempt, oneWayMicros(target));
        }
    }

    private void hedge(Request request) {
        if (lost
                || request.reportedOutcome() != null
                || request.inProgress() != 1
                || request.isHedged()) {
            return;
        }
        long now = events.nowMillis();
        Set<TargetId> used = new HashSet<>(request.attempts().tried());
        inProgress.stream()
                .filter(attempt -> attempt.request() == request)
                .forEach(attempt -> used.add(attempt.target().id()));
        RouteRequest hedgeRequest = new RouteRequest(request.deadline(), used);
        Optional<Route> route = policies.router().choose(hedgeRequest, now, random);
        if (route.isPresent() && policies.hedges().tryHedge(route.get(), request.deadline(), now)) {
            request.markHedged();
            send(request, route.get().target(), false, true);
        }
    }

    /** Handles the end of an attempt by an answer, a refusal or the loss of its connection. */
    void onAttemptEnded(Attempt attempt, Response response) {
        if (lost || !attempt.markEnded()) {
            return;
        }
        Request request = attempt.request();
        inProgress.remove(attempt);
        request.addInProgress(-1);
        policies.router().completed(attempt.target().id(), response, events.nowMillis());
        if (request.reportedOutcome() != null) {
            return;
        }
        if (response.kind() == Response.Kind.RAN) {
            onAnswered(attempt, response);
            return;
        }
        request.attempts(request.attempts().plus(attempt.target().id(), response));
        if (request.inProgress() == 0) {
            retryOrGiveUp(request, response);
        }
    }

    private void onAnswered(Attempt attempt, Response response) {
        Request request = attempt.request();
        long now = events.nowMillis();
        long latencyMicros =
                events.nowMicros()
                        + scenario.example().clientOneWayMicros()
                        - request.sentAtMicros();
        recorder.answered(request, request.deadline().isLate(now), latencyMicros);
        policies.admission().finished(accountOf(request), response, now);
        long elapsedMicros = events.nowMicros() - attempt.sentAtMicros();
        policies.hedges().recordAnswer(elapsedMicros, now);
    }

    private void retryOrGiveUp(Request request, Response response) {
        long now = events.nowMillis();
        Optional<Route> route =
                policies.retries()
                        .retry(
                                request.attempts(),
                                request.kind().idempotent(),
                                request.deadline(),
                                now)
                        .flatMap(retry -> policies.router().choose(retry, now, random));
        if (route.isPresent()) {
            send(request, route.get().target(), true, false);
        } else {
            policies.admission().finished(accountOf(request), response, now);
            recorder.gaveUp(request, request.attempts().outcome());
        }
    }

    /** Handles the detection of a silent connection by the heartbeat. */
    void disconnect(FakeTarget target) {
        disconnected.add(target.id());
        List<Attempt> affected = new ArrayList<>(inProgress);
        affected.removeIf(attempt -> attempt.target() != target);
        Response noResponse = Response.without(Response.Kind.NO_RESPONSE);
        affected.forEach(attempt -> onAttemptEnded(attempt, noResponse));
    }

    /** Handles the recovery of a target, which accepts new connections again. */
    void reconnect(FakeTarget target) {
        disconnected.remove(target.id());
    }

    /** Crashes the process and returns the requests that their callers will send again. */
    List<Request> crash() {
        lost = true;
        List<Request> resent = new ArrayList<>();
        Set<Request> interrupted = new LinkedHashSet<>();
        inProgress.forEach(attempt -> interrupted.add(attempt.request()));
        for (Request request : interrupted) {
            request.addInProgress(-request.inProgress());
            if (request.reportedOutcome() == null && request.kind().idempotent()) {
                resent.add(request);
            } else if (request.reportedOutcome() == null) {
                recorder.gaveUp(request, Outcome.UNKNOWN);
            }
        }
        return resent;
    }
}
