package org.yuccabank.agent;

import com.google.protobuf.ByteString;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;
import org.yuccabank.model.Resources;
import org.yuccabank.protocol.generated.Invoke;
import org.yuccabank.protocol.generated.InvokeResult;
import org.yuccabank.protocol.generated.OutcomeKind;
import org.yuccabank.protocol.generated.OutcomeQuery;
import org.yuccabank.standin.CheckpointStore;
import org.yuccabank.standin.StandInConfiguration;
import org.yuccabank.standin.StandInWorker;

/**
 * A deterministic simulation of two hosts with agents and stand-in workers, a fake control and a
 * fake entry on a simulated clock. Messages are lost, duplicated, reordered and delayed; agents
 * pause and restart. The events are recorded in the workers' records and in {@link #runs}.
 */
final class AgentSimulation {

    static final Resources CAPACITY = Resources.of(4_000, 8_000, 0);

    private static final int HOSTS = 2;
    private static final long TICK_MILLIS = 250;
    private static final long CALL_TIMEOUT_MILLIS = 2_000;

    final RandomGenerator random;
    final List<Host> hosts = new ArrayList<>();

    /** Requests that the targets ran, as key and fencing token. */
    final List<String> runs = new ArrayList<>();

    final Set<String> reportedNotRun = new HashSet<>();
    private final AgentOptions options;
    private final FakeControl control;
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(
                    Comparator.comparingLong(Event::atMillis).thenComparingLong(Event::order));
    private final Map<Long, Invoke> requestsByNumber = new HashMap<>();
    private long now = 1_000_000;
    private long order;
    private long lastRequestNumber;
    private int lastKey;

    /** An action scheduled for a time. */
    private record Event(long atMillis, long order, Runnable body) {}

    /** A host with its worker and agent. */
    final class Host {
        final String id;
        final StandInWorker worker;
        AgentCore core;
        long incarnation;
        long pausedUntil;

        private Host(String id, StandInWorker worker) {
            this.id = id;
            this.worker = worker;
            restart();
        }

        private void restart() {
            incarnation = now;
            core = AgentCore.of(configuration(id), incarnation, options);
            core.announce(new Announcement("t-" + id, "studio", List.of(), 2, 6), now);
        }
    }

    AgentSimulation(long seed, AgentOptions options) {
        this.options = options;
        random = RandomGeneratorFactory.of("L64X128MixRandom").create(seed);
        control = new FakeControl(this);
        CheckpointStore checkpoints = CheckpointStore.empty();
        for (int index = 0; index < HOSTS; index++) {
            StandInConfiguration worker =
                    StandInConfiguration.withDefaults(
                                    "t", "studio", List.of(), address(), Optional.empty())
                            .withCapacity(CAPACITY, Resources.of(1_000, 1_000, 0));
            hosts.add(new Host("h" + index, StandInWorker.of(worker, checkpoints)));
        }
    }

    static InetSocketAddress address() {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), 1);
    }

    static AgentConfiguration configuration(String id) {
        return new AgentConfiguration(
                id,
                id,
                "dc-1",
                "rack-1",
                address(),
                address(),
                address(),
                address(),
                List.of(address()),
                AgentConfiguration.Limits.defaults());
    }

    long now() {
        return now;
    }

    boolean chance(double probability) {
        return random.nextDouble() < probability;
    }

    void schedule(long millis, Runnable body) {
        events.add(new Event(now + millis, order++, body));
    }

    /** Runs the simulation for a period of simulated time. */
    void run(long millis) {
        long end = now + millis;
        for (Host host : hosts) {
            tick(host);
        }
        schedule(500, this::step);
        while (!events.isEmpty() && events.peek().atMillis() <= end) {
            Event event = events.remove();
            now = event.atMillis();
            event.body().run();
        }
        now = end;
        hosts.forEach(host -> host.worker.advance(end));
    }

    private void tick(Host host) {
        host.worker.advance(now);
        input(host, () -> host.core.tick(now));
        schedule(TICK_MILLIS, () -> tick(host));
    }

    /** Delivers an input to an agent, after the end of its pause if it is paused. */
    private void input(Host host, Runnable body) {
        if (host.pausedUntil > now) {
            schedule(host.pausedUntil - now, () -> input(host, body));
            return;
        }
        if (chance(0.002)) {
            host.pausedUntil = now + random.nextLong(15_000);
            schedule(host.pausedUntil - now, () -> input(host, body));
            return;
        }
        body.run();
        host.core.takeActions().forEach(action -> perform(host, action));
        host.core.announce(new Announcement("t-" + host.id, "studio", List.of(), 2, 6), now);
    }

    /** Runs a step of control and entry, and occasionally restarts an agent. */
    private void step() {
        control.step();
        if (chance(0.4)) {
            startRequest("key-" + lastKey++);
        }
        if (chance(0.01)) {
            Host host = hosts.get(random.nextInt(HOSTS));
            host.restart();
        }
        schedule(100 + random.nextLong(400), this::step);
    }

    private long delay() {
        double draw = random.nextDouble();
        if (draw < 0.9) {
            return 1 + random.nextLong(50);
        }
        return draw < 0.98 ? random.nextLong(3_000) : random.nextLong(25_000);
    }

    /** Delivers a message, possibly never, twice, late or out of order. */
    void deliverUnreliably(Runnable delivery) {
        if (chance(0.05)) {
            return;
        }
        schedule(delay(), delivery);
        if (chance(0.1)) {
            schedule(delay(), delivery);
        }
    }

    private void perform(Host host, AgentAction action) {
        AgentCore sender = host.core;
        if (action instanceof AgentAction.SendReport send) {
            deliverUnreliably(() -> control.report(host, send.report()));
        } else if (action instanceof AgentAction.ReadWorker read) {
            readWorker(host, sender, read.readId());
        } else if (action instanceof AgentAction.CallWorker call) {
            callWorker(host, sender, call.call());
        } else if (action instanceof AgentAction.Dispatch dispatch) {
            dispatch(host, sender, dispatch.requestNumber(), dispatch.request());
        } else if (action instanceof AgentAction.Answer answer) {
            Invoke request = requestsByNumber.get(answer.requestNumber());
            deliverUnreliably(() -> onAnswer(host, request, answer.result()));
        }
    }

    /** Delivers an input to the incarnation that requested it, and never to a later one. */
    private void inputTo(Host host, AgentCore receiver, Runnable body) {
        input(
                host,
                () -> {
                    if (host.core == receiver) {
                        body.run();
                    }
                });
    }

    private void readWorker(Host host, AgentCore reader, long readId) {
        schedule(
                1 + random.nextLong(30),
                () -> {
                    WorkerState state = StandInWorkerAdapter.of(host.worker.state(now));
                    boolean lost = chance(0.05);
                    schedule(
                            lost ? CALL_TIMEOUT_MILLIS : 1 + random.nextLong(30),
                            () ->
                                    inputTo(
                                            host,
                                            reader,
                                            () -> {
                                                if (lost) {
                                                    reader.onWorkerReadFailed(now);
                                                } else {
                                                    reader.onWorkerState(readId, state, now);
                                                }
                                            }));
                });
    }

    private void callWorker(Host host, AgentCore caller, WorkerCall call) {
        if (chance(0.03)) {
            WorkerCallResult result =
                    WorkerCallResult.of(WorkerCallResult.Kind.NOT_SENT, "refused");
            schedule(
                    1,
                    () ->
                            inputTo(
                                    host,
                                    caller,
                                    () -> caller.onWorkerCallResult(call, result, now)));
            return;
        }
        boolean late = chance(0.05);
        boolean lost = late || chance(0.05);
        schedule(
                late ? delay() : 1 + random.nextLong(20),
                () -> {
                    WorkerCallResult result = StandInWorkerAdapter.perform(host.worker, call, now);
                    if (!lost) {
                        schedule(
                                1 + random.nextLong(20),
                                () ->
                                        inputTo(
                                                host,
                                                caller,
                                                () ->
                                                        caller.onWorkerCallResult(
                                                                call, result, now)));
                    }
                });
        if (lost) {
            WorkerCallResult uncertain =
                    WorkerCallResult.of(WorkerCallResult.Kind.UNCERTAIN, "timeout");
            schedule(
                    CALL_TIMEOUT_MILLIS,
                    () ->
                            inputTo(
                                    host,
                                    caller,
                                    () -> caller.onWorkerCallResult(call, uncertain, now)));
        }
    }

    private void dispatch(Host host, AgentCore sender, long requestNumber, Invoke request) {
        if (chance(0.05)) {
            ServeResult refused = ServeResult.failed(ServeResult.Kind.NOT_SENT, "refused");
            schedule(
                    1,
                    () ->
                            inputTo(
                                    host,
                                    sender,
                                    () -> sender.onServeResult(requestNumber, refused, now)));
            return;
        }
        runs.add(request.getRequestId() + "@" + request.getFencingToken());
        ServeResult result =
                chance(0.05)
                        ? ServeResult.failed(ServeResult.Kind.UNCERTAIN, "lost")
                        : ServeResult.answered(200, ByteString.copyFromUtf8("ok"), "text");
        long millis = 50 + random.nextLong(1_500);
        schedule(
                millis,
                () ->
                        inputTo(
                                host,
                                sender,
                                () -> sender.onServeResult(requestNumber, result, now)));
    }

    /** Claims a key at control and sends the request to the incarnation known there. */
    void startRequest(String key) {
        Host host = hosts.get(random.nextInt(HOSTS));
        Optional<Long> token = control.claim(key, host);
        if (token.isEmpty()) {
            return;
        }
        Invoke request =
                Invoke.newBuilder()
                        .setRequestId(key)
                        .setAccount("account")
                        .setKind("charge")
                        .setDeadlineMillis(1 + random.nextLong(3_000))
                        .setAtMostOnce(true)
                        .setFencingToken(token.get())
                        .setIncarnation(control.incarnation(host))
                        .build();
        deliverUnreliably(() -> input(host, () -> invoke(host, request)));
        if (chance(0.2)) {
            OutcomeQuery query =
                    OutcomeQuery.newBuilder()
                            .setRequestId(key)
                            .setAccount("account")
                            .setFencingToken(token.get())
                            .setIncarnation(request.getIncarnation())
                            .build();
            deliverUnreliably(() -> input(host, () -> query(host, query, request)));
        }
    }

    private void invoke(Host host, Invoke request) {
        long requestNumber = ++lastRequestNumber;
        requestsByNumber.put(requestNumber, request);
        host.core.invoke(requestNumber, request, 0, now);
    }

    private void query(Host host, OutcomeQuery query, Invoke request) {
        var answer = host.core.query(query, now);
        if (answer.getOutcome().getOutcome() == OutcomeKind.NOT_RUN) {
            recordNotRun(request);
        }
    }

    private void onAnswer(Host host, Invoke request, InvokeResult result) {
        if (result.getOutcome() == OutcomeKind.NOT_RUN) {
            recordNotRun(request);
        }
    }

    private void recordNotRun(Invoke request) {
        reportedNotRun.add(request.getRequestId() + "@" + request.getFencingToken());
        if (control.releaseClaim(request.getRequestId(), request.getFencingToken())) {
            startRequest(request.getRequestId());
        }
    }
}
