package org.yuccabank.agent;

import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicBoolean;
import org.yuccabank.event.Event;
import org.yuccabank.event.EventLog;
import org.yuccabank.protocol.PeerConnection;
import org.yuccabank.protocol.PeerSecurity;
import org.yuccabank.protocol.PeerServer;
import org.yuccabank.protocol.PeerTimings;
import org.yuccabank.protocol.PeerTransport;
import org.yuccabank.protocol.generated.Envelope;
import org.yuccabank.protocol.generated.Hello;
import org.yuccabank.protocol.generated.InvokeResult;
import org.yuccabank.protocol.generated.OutcomeQuery;
import org.yuccabank.protocol.generated.Role;
import reactor.core.publisher.Mono;
import reactor.core.publisher.MonoSink;

/**
 * The agent process: connects {@link AgentCore} to control, the entries, the worker and the target.
 *
 * <p>The core is confined to one event loop. {@link #start} and {@link #stop} may be called by any
 * thread.
 */
public final class AgentService {

    // Directives and requests are handled on arrival; ticks only handle what becomes due with time.
    private static final long TICK_MILLIS = 200;

    private final AgentConfiguration configuration;
    private final long incarnation;
    private final PeerTransport transport;
    private final EventLoop loop;
    private final AgentCore core;
    private final WorkerClient worker;
    private final ControlConnection control;
    private final PeerServer server;
    private final HttpListener announcements;
    private final HttpListener administration;
    private final Map<Long, MonoSink<Envelope>> pendingResponses = new HashMap<>();
    private final CompletableFuture<Void> drained = new CompletableFuture<>();
    // Leases are measured on a monotonic clock, which adjustments of the host's clock do not
    // affect.
    private final long startMillis = System.currentTimeMillis();
    private final long startNanos = System.nanoTime();
    private final AtomicBoolean stopped = new AtomicBoolean();
    private volatile long configurationVersion;
    private volatile boolean draining;
    private long lastRequestNumber;

    private AgentService(AgentConfiguration initial, PeerSecurity security) {
        incarnation = startMillis;
        Hello hello =
                Hello.newBuilder()
                        .setProcessId(initial.processId())
                        .setIncarnation(incarnation)
                        .setRole(Role.AGENT)
                        .setDataCentre(initial.dataCentre())
                        .build();
        transport =
                PeerTransport.start(
                        hello, () -> configurationVersion, PeerTimings.defaults(), security, 1);
        loop = transport.eventLoop();
        server = PeerServer.start(transport, initial.listenAddress(), this::handle);
        configuration = initial.withListenAddress(server.address());
        core = AgentCore.of(configuration, incarnation, AgentOptions.defaults());
        worker = new WorkerClient(new PooledHttpClient(loop, initial.workerAddress()), this::now);
        control =
                new ControlConnection(
                        transport,
                        loop,
                        configuration.controlAddresses(),
                        this::handle,
                        this::onDirectives,
                        core::requestReport);
        AgentEndpoint endpoint = new AgentEndpoint(core, control, this::now, this::runActions);
        announcements =
                HttpListener.start(loop, initial.announcementAddress(), endpoint::announcement);
        administration =
                HttpListener.start(loop, initial.administrationAddress(), endpoint::administration);
    }

    /**
     * Starts an agent.
     *
     * @param configuration addresses and limits
     * @param security TLS configuration of the peer protocol
     * @return the running agent
     * @throws java.io.UncheckedIOException if an address cannot be bound
     */
    public static AgentService start(AgentConfiguration configuration, PeerSecurity security) {
        Objects.requireNonNull(configuration, "configuration is null");
        Objects.requireNonNull(security, "security is null");
        AgentService service = new AgentService(configuration, security);
        var unused =
                service.loop.scheduleWithFixedDelay(
                        service::tick, 0, TICK_MILLIS, TimeUnit.MILLISECONDS);
        EventLog.information(
                Event.ROLE_STARTED,
                "role",
                "agent",
                "host",
                configuration.hostId(),
                "incarnation",
                service.incarnation);
        return service;
    }

    /**
     * Stops the agent gracefully: refuses new work, completes the requests in progress, checkpoints
     * and stops the tasks, and reports the outcomes to control.
     *
     * @return false if the drain timeout expired before all work had ended
     */
    public boolean stop() {
        if (!stopped.compareAndSet(false, true)) {
            return true;
        }
        EventLog.information(Event.ROLE_DRAINING, "role", "agent", "host", configuration.hostId());
        loop.execute(
                () -> {
                    draining = true;
                    core.beginDrain(now());
                    runActions();
                });
        boolean complete = awaitDrained();
        announcements.stop();
        administration.stop();
        server.stop();
        control.stop();
        loop.execute(worker::stop);
        transport.stop();
        EventLog.information(Event.ROLE_STOPPED, "role", "agent", "host", configuration.hostId());
        return complete;
    }

    private boolean awaitDrained() {
        long limit = configuration.limits().drainTimeoutMillis();
        try {
            drained.get(limit == 0 ? Long.MAX_VALUE : limit, TimeUnit.MILLISECONDS);
            return true;
        } catch (TimeoutException exception) {
            EventLog.warning(
                    Event.DRAIN_TIMEOUT, "role", "agent", "requests", core.admittedRequests());
            return false;
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
            return false;
        } catch (ExecutionException exception) {
            throw new IllegalStateException(exception);
        }
    }

    /**
     * Returns the listen address of the peer protocol.
     *
     * @return the bound address
     */
    public InetSocketAddress address() {
        return server.address();
    }

    /**
     * Returns the listen address for the target's announcements.
     *
     * @return the bound address
     */
    public InetSocketAddress announcementAddress() {
        return announcements.address();
    }

    /**
     * Returns the listen address of the metrics and health endpoints.
     *
     * @return the bound address
     */
    public InetSocketAddress administrationAddress() {
        return administration.address();
    }

    private long now() {
        return startMillis + TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
    }

    private void tick() {
        try {
            core.tick(now());
            runActions();
            if (draining && core.isDrained(now())) {
                drained.complete(null);
            }
        } catch (RuntimeException exception) {
            EventLog.error(Event.INTERNAL_ERROR, exception, "role", "agent");
        }
    }

    private Mono<Envelope> handle(PeerConnection from, Envelope request) {
        return switch (request.getBodyCase()) {
            case INVOKE -> Mono.create(sink -> loop.execute(() -> invoke(request, sink)));
            case OUTCOME_QUERY ->
                    Mono.create(
                            sink ->
                                    loop.execute(
                                            () -> sink.success(query(request.getOutcomeQuery()))));
            case AGENT_DIRECTIVES -> {
                loop.execute(() -> onPushedDirectives(request));
                yield Mono.empty();
            }
            default -> Mono.empty();
        };
    }

    private void invoke(Envelope request, MonoSink<Envelope> sink) {
        long requestNumber = ++lastRequestNumber;
        pendingResponses.put(requestNumber, sink);
        core.invoke(requestNumber, request.getInvoke(), request.getConfigurationVersion(), now());
        runActions();
    }

    private void onPushedDirectives(Envelope message) {
        core.onPushedDirectives(message.getAgentDirectives(), now());
        runActions();
    }

    private Envelope query(OutcomeQuery query) {
        return Envelope.newBuilder().setOutcomeAnswer(core.query(query, now())).build();
    }

    private void onDirectives(
            org.yuccabank.protocol.generated.AgentDirectives directives, long controlVersion) {
        core.onDirectives(directives, controlVersion, now());
        if (core.configurationVersion() != configurationVersion) {
            configurationVersion = core.configurationVersion();
            EventLog.information(
                    Event.CONFIGURATION_APPLIED, "role", "agent", "version", configurationVersion);
        }
        runActions();
    }

    private void runActions() {
        for (AgentAction action : core.takeActions()) {
            run(action);
        }
    }

    private void run(AgentAction action) {
        if (action instanceof AgentAction.SendReport send) {
            control.send(send.report());
        } else if (action instanceof AgentAction.CallWorker call) {
            worker.call(
                    call.call(),
                    result -> {
                        core.onWorkerCallResult(call.call(), result, now());
                        runActions();
                    });
        } else if (action instanceof AgentAction.ReadWorker read) {
            readWorker(read.readId());
        } else if (action instanceof AgentAction.Dispatch dispatch) {
            worker.serve(
                    dispatch.request(),
                    result -> {
                        core.onServeResult(dispatch.requestNumber(), result, now());
                        runActions();
                    });
        } else if (action instanceof AgentAction.Answer answer) {
            answer(answer.requestNumber(), answer.result());
        }
    }

    private void readWorker(long readId) {
        worker.read(
                state -> {
                    if (state.isPresent()) {
                        core.onWorkerState(readId, state.get(), now());
                    } else {
                        core.onWorkerReadFailed(now());
                    }
                    runActions();
                });
    }

    private void answer(long requestNumber, InvokeResult result) {
        MonoSink<Envelope> sink = pendingResponses.remove(requestNumber);
        if (sink != null) {
            sink.success(Envelope.newBuilder().setInvokeResult(result).build());
        }
    }
}
