package org.yuccabank.bench.routing;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.random.RandomGenerator;
import org.yuccabank.model.AccountId;
import org.yuccabank.model.TargetId;
import org.yuccabank.policy.routing.Candidate;

/** Simulation of callers, entries, targets and the faults of a load. Mutable; runs once. */
final class RoutingSimulation {

    /** Time until the heartbeats of an entry detect a silent connection. */
    private static final long SILENCE_DETECTION_MICROS = 2_000_000;

    /** Maximum time until an entry receives a change of the directory. */
    private static final long MAXIMUM_DIRECTORY_DELAY_MICROS = 1_000_000;

    /** Time after which the callers of a crashed entry send their requests again. */
    private static final long CALLER_RETRY_DELAY_MICROS = 500_000;

    private final RoutingScenario scenario;
    private final EventQueue events = new EventQueue();
    private final Recorder recorder;
    private final RandomGenerator arrivalRandom;
    private final RandomGenerator serviceTimeRandom;
    private final RandomGenerator balancerRandom;
    private final List<FakeTarget> targets = new ArrayList<>();
    private final List<EntryDriver> entries = new ArrayList<>();
    private double fractionalMicros;

    private RoutingSimulation(RoutingScenario scenario) {
        this.scenario = scenario;
        this.recorder = new Recorder(scenario);
        SplittableRandom root = new SplittableRandom(scenario.seed());
        this.arrivalRandom = root.split();
        this.serviceTimeRandom = root.split();
        this.balancerRandom = root.split();
        List<AccountId> accounts = new ArrayList<>();
        for (int number = 0; number < RoutingScenario.ACCOUNTS; number++) {
            accounts.add(AccountId.of("account-" + number));
        }
        for (int number = 0; number < scenario.targets(); number++) {
            TargetId id = TargetId.of("target-" + number);
            int dataCentre = number % Example.DATA_CENTRES;
            targets.add(new FakeTarget(id, dataCentre, events, recorder));
        }
        for (int number = 0; number < scenario.entries(); number++) {
            int dataCentre = number % Example.DATA_CENTRES;
            entries.add(
                    new EntryDriver(
                            scenario,
                            events,
                            recorder,
                            root.split(),
                            dataCentre,
                            targets,
                            accounts));
        }
    }

    /**
     * Runs a scenario to its end and returns the results.
     *
     * @param scenario the scenario
     * @return the results
     */
    static RoutingReport run(RoutingScenario scenario) {
        RoutingSimulation simulation = new RoutingSimulation(scenario);
        simulation.scheduleFaults();
        simulation.events.scheduleAt(0, simulation::arrive);
        simulation.events.runAll();
        return simulation.recorder.report();
    }

    private void arrive() {
        if (events.nowMicros() >= scenario.endMicros()) {
            return;
        }
        Request request = newRequest();
        recorder.offered(request);
        events.scheduleAfter(scenario.example().clientOneWayMicros(), () -> dispatch(request));
        double perSecond =
                scenario.capacityPerSecond() * scenario.load().offeredShare() * demandFactor();
        double gapMicros = arrivalRandom.nextExponential() * 1e6 / perSecond;
        scheduleNext(gapMicros);
    }

    /**
     * Schedules the next arrival. Gaps are shorter than a microsecond with many targets, so the
     * fraction of a microsecond is carried over.
     */
    private void scheduleNext(double gapMicros) {
        double exact = gapMicros + fractionalMicros;
        long whole = (long) exact;
        fractionalMicros = exact - whole;
        events.scheduleAfter(whole, this::arrive);
    }

    private double demandFactor() {
        boolean isShifted =
                scenario.load() == Load.SHIFT
                        && events.nowMicros() >= scenario.faultStartMicros()
                        && events.nowMicros() < scenario.faultEndMicros();
        return isShifted ? Load.SHIFT_FACTOR : 1;
    }

    private Request newRequest() {
        RequestKind kind = drawKind();
        boolean isGreedy = arrivalRandom.nextDouble() < RoutingScenario.GREEDY_SHARE;
        int account = isGreedy ? 0 : 1 + arrivalRandom.nextInt(RoutingScenario.ACCOUNTS - 1);
        return new Request(
                kind, account, kind.serviceMicros(serviceTimeRandom), events.nowMicros());
    }

    private RequestKind drawKind() {
        double draw = arrivalRandom.nextDouble();
        List<RequestKind> kinds = scenario.example().kinds();
        for (RequestKind kind : kinds) {
            draw -= kind.requestShare();
            if (draw < 0) {
                return kind;
            }
        }
        return kinds.get(0);
    }

    private void dispatch(Request request) {
        List<EntryDriver> alive = entries.stream().filter(entry -> !entry.isLost()).toList();
        if (alive.isEmpty()) {
            recorder.refused(request);
        } else {
            alive.get(balancerRandom.nextInt(alive.size())).receive(request);
        }
    }

    private void scheduleFaults() {
        FakeTarget first = targets.get(0);
        long start = scenario.faultStartMicros();
        long end = scenario.faultEndMicros();
        switch (scenario.load()) {
            case SLOW_TARGET -> scheduleBehaviour(first, FakeTarget.Behaviour.SLOW, start, end);
            case FAILING_TARGET ->
                    scheduleBehaviour(first, FakeTarget.Behaviour.FAILING, start, end);
            case SILENT_TARGET -> {
                scheduleBehaviour(first, FakeTarget.Behaviour.SILENT, start, end);
                for (EntryDriver entry : entries) {
                    events.scheduleAt(
                            start + SILENCE_DETECTION_MICROS, () -> entry.disconnect(first));
                    events.scheduleAt(end, () -> entry.reconnect(first));
                }
            }
            case TARGET_LEAVING -> {
                events.scheduleAt(start, () -> first.behaviour(FakeTarget.Behaviour.LEAVING));
                for (EntryDriver entry : entries) {
                    long delay = balancerRandom.nextLong(MAXIMUM_DIRECTORY_DELAY_MICROS);
                    events.scheduleAt(
                            start + delay,
                            () -> entry.updateTarget(first, Candidate.State.LEAVING));
                }
            }
            case ENTRY_LOST -> events.scheduleAt(start, this::crashFirstEntry);
            default -> {
                // These loads have no fault; only the demand differs.
            }
        }
    }

    private void scheduleBehaviour(
            FakeTarget target, FakeTarget.Behaviour behaviour, long start, long end) {
        events.scheduleAt(start, () -> target.behaviour(behaviour));
        events.scheduleAt(end, () -> target.behaviour(FakeTarget.Behaviour.NORMAL));
    }

    private void crashFirstEntry() {
        List<Request> resent = entries.get(0).crash();
        events.scheduleAfter(CALLER_RETRY_DELAY_MICROS, () -> resent.forEach(this::dispatch));
    }
}
