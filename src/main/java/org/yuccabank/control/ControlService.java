package org.yuccabank.control;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.yuccabank.event.Event;
import org.yuccabank.event.EventLog;
import org.yuccabank.http.AdministrationServer;
import org.yuccabank.policy.placement.PlacementPolicy;
import org.yuccabank.protocol.LeaderClient;
import org.yuccabank.protocol.PeerAddress;
import org.yuccabank.protocol.PeerClient;
import org.yuccabank.protocol.PeerHandler;
import org.yuccabank.protocol.PeerSecurity;
import org.yuccabank.protocol.PeerServer;
import org.yuccabank.protocol.PeerTimings;
import org.yuccabank.protocol.PeerTransport;
import org.yuccabank.protocol.generated.Envelope;
import org.yuccabank.protocol.generated.Hello;
import org.yuccabank.protocol.generated.JoinRequest;
import org.yuccabank.protocol.generated.ReplicaMessage;
import org.yuccabank.protocol.generated.Role;
import org.yuccabank.protocol.generated.RulesVersion;
import org.yuccabank.protocol.generated.WorkflowRequest;
import org.yuccabank.replication.ReplicaService;
import org.yuccabank.replication.ReplicaSettings;
import org.yuccabank.replication.ReplicaStatus;
import org.yuccabank.replication.ReplicaTransport;
import org.yuccabank.result.Result;
import org.yuccabank.state.ReplicatedState;

/**
 * The control role: one replica of the state and, while it is the leader, the scheduler.
 *
 * <p>Invariant: all code that reads the state or makes decisions runs on the replica thread. The
 * public methods may be called from any thread.
 */
public final class ControlService {

    private static final int NETWORK_THREADS = 2;
    private static final long ROUND_INTERVAL_MILLIS = 50;
    private static final long TRANSFER_TIMEOUT_MILLIS = 2_000;

    /** Interval between two join requests of a replica that is not yet a voter. */
    private static final long JOIN_INTERVAL_MILLIS = 250;

    private static final Duration JOIN_TIMEOUT = Duration.ofMillis(1_000);

    private final ControlConfiguration configuration;
    private final MetricRegistry metrics = new MetricRegistry();
    private final ReplicatedState state = ReplicatedState.empty();
    private final Map<String, PeerClient> replicaClients = new ConcurrentHashMap<>();
    private final PeerTransport transport;
    private final ReplicaService replica;
    private final ControlLeader leader;
    private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();
    private final LeaderClient joinClient;
    private volatile long configurationVersion;
    private PeerServer server;
    private AdministrationServer administration;

    private ControlService(
            ControlConfiguration configuration, PlacementPolicy placement, PeerSecurity security) {
        this.configuration = configuration;
        Hello hello =
                Hello.newBuilder()
                        .setProcessId(configuration.processId())
                        .setRole(Role.CONTROL)
                        .setDataCentre(configuration.dataCentre())
                        .setIncarnation(System.currentTimeMillis())
                        .build();
        transport =
                PeerTransport.start(
                        hello,
                        () -> configurationVersion,
                        PeerTimings.defaults(),
                        security,
                        NETWORK_THREADS);
        ReplicaSettings settings =
                new ReplicaSettings(
                        configuration.group(),
                        configuration.replicaId(),
                        configuration.dataDirectory(),
                        configuration.members(),
                        configuration.timing(),
                        ReplicaSettings.DEFAULT_SNAPSHOT_ENTRIES);
        replica = ReplicaService.of(settings, state, new ConnectionTransport());
        List<InetSocketAddress> joinAddresses =
                configuration.joinAddresses().isEmpty()
                        ? List.of(configuration.protocolAddress())
                        : configuration.joinAddresses();
        joinClient = LeaderClient.of(transport, joinAddresses, PeerHandler.none());
        leader =
                ControlLeader.of(
                        configuration,
                        replica,
                        state,
                        placement,
                        RandomGenerator.of("L64X128MixRandom"));
    }

    /**
     * Creates a control service without starting it.
     *
     * @param configuration configuration of the process
     * @param placement policy that places tasks
     * @param security TLS settings of the connections
     * @return the service
     */
    public static ControlService of(
            ControlConfiguration configuration, PlacementPolicy placement, PeerSecurity security) {
        Objects.requireNonNull(configuration, "configuration is null");
        Objects.requireNonNull(placement, "placement is null");
        return new ControlService(configuration, placement, security);
    }

    /**
     * Recovers the durable state and starts serving requests.
     *
     * @return this service, or the errors found in the durable state
     */
    public Result<ControlService> start() {
        Result<ReplicaStatus> started = replica.start();
        if (!started.isSuccess()) {
            transport.stop();
            timer.shutdownNow();
            return Result.failure(started.findings());
        }
        registerMetrics();
        PeerHandler handler = ControlHandler.of(replica, leader);
        server = PeerServer.start(transport, configuration.protocolAddress(), handler);
        administration =
                AdministrationServer.start(
                        configuration.administrationAddress(),
                        metrics,
                        () -> replica.status().stopReason().isEmpty());
        timer.scheduleWithFixedDelay(
                this::runRound,
                ROUND_INTERVAL_MILLIS,
                ROUND_INTERVAL_MILLIS,
                TimeUnit.MILLISECONDS);
        if (!configuration.joinAddresses().isEmpty()) {
            timer.scheduleWithFixedDelay(
                    this::joinIfNeeded,
                    JOIN_INTERVAL_MILLIS,
                    JOIN_INTERVAL_MILLIS,
                    TimeUnit.MILLISECONDS);
        }
        EventLog.information(
                Event.ROLE_STARTED,
                "role",
                "control",
                "process",
                configuration.processId(),
                "address",
                server.address(),
                "administration",
                administration.address());
        return Result.success(this);
    }

    private void registerMetrics() {
        Gauge<Long> commit = () -> replica.status().commitIndex();
        Gauge<Long> term = () -> replica.status().term();
        Gauge<Integer> leads = () -> replica.isLeader() ? 1 : 0;
        Gauge<Integer> voters = () -> replica.status().voters().size();
        Gauge<Integer> quorum = () -> replica.status().quorum();
        Gauge<Integer> running = () -> replica.status().stopReason().isEmpty() ? 1 : 0;
        Gauge<Long> failures = replica::failureCount;
        Gauge<Integer> connections = transport::connectionCount;
        metrics.register("replica_commit_index", commit);
        metrics.register("replica_term", term);
        metrics.register("replica_is_leader", leads);
        metrics.register("replica_voters", voters);
        metrics.register("replica_quorum", quorum);
        metrics.register("replica_running", running);
        metrics.register("replica_failures", failures);
        metrics.register("connections", connections);
        leader.registerMetrics(metrics);
    }

    private void runRound() {
        CompletionStage<Void> round = replica.call(this::runRoundOnReplicaThread);
        round.exceptionally(
                error -> {
                    EventLog.error(Event.INTERNAL_ERROR, error);
                    return null;
                });
    }

    private Void runRoundOnReplicaThread() {
        configurationVersion =
                state.records().currentRules().map(RulesVersion::getVersion).orElse(0L);
        leader.runRound(System.currentTimeMillis());
        return null;
    }

    /**
     * Sends a join request unless this replica is a voter. A learner repeats it, because the entry
     * that added it may be lost with its leader.
     */
    private void joinIfNeeded() {
        if (replica.status().voters().contains(configuration.replicaId())) {
            return;
        }
        String address = PeerAddress.format(configuration.protocolAddress());
        JoinRequest join =
                JoinRequest.newBuilder()
                        .setReplicaId(configuration.replicaId())
                        .setAddress(address)
                        .build();
        Envelope request =
                Envelope.newBuilder()
                        .setWorkflowRequest(WorkflowRequest.newBuilder().setJoin(join))
                        .build();
        joinClient
                .request(request, JOIN_TIMEOUT)
                .subscribe(
                        reply -> {},
                        error ->
                                EventLog.warning(
                                        Event.MEMBERSHIP_CHANGED,
                                        "step",
                                        "join",
                                        "problem",
                                        error.getMessage()));
    }

    /** Sends messages over one connection to each other replica. Thread-safe. */
    private final class ConnectionTransport implements ReplicaTransport {

        @Override
        public void send(String address, ReplicaMessage message) {
            if (address.isEmpty()) {
                return;
            }
            replicaClients
                    .computeIfAbsent(address, this::connect)
                    .send(Envelope.newBuilder().setReplicaMessage(message).build());
        }

        @Override
        public boolean isUnreachable(String address) {
            PeerClient client = replicaClients.get(address);
            return client != null && client.isUnreachable();
        }

        private PeerClient connect(String address) {
            return PeerClient.of(transport, PeerAddress.parse(address), PeerHandler.none());
        }
    }

    /**
     * Replaces the addresses to which a replica sends join requests.
     *
     * @param addresses addresses of control processes, at least one
     */
    public void replaceJoinAddresses(List<InetSocketAddress> addresses) {
        joinClient.updateConfiguredAddresses(addresses);
    }

    /**
     * Returns the address on which other processes reach this one.
     *
     * @return the address with the bound port
     */
    public InetSocketAddress protocolAddress() {
        return server.address();
    }

    /**
     * Returns the address of the metrics and health endpoints.
     *
     * @return the address with the bound port
     */
    public InetSocketAddress administrationAddress() {
        return administration.address();
    }

    /**
     * Returns whether this replica is the leader.
     *
     * @return true if it is the leader to its knowledge; another replica may already lead a newer
     *     term
     */
    public boolean isLeader() {
        return replica.isLeader();
    }

    /**
     * Returns the size of the replicated state.
     *
     * @return size of a snapshot in bytes
     */
    public long snapshotBytes() {
        return replica.call(() -> (long) state.snapshot().length).toCompletableFuture().join();
    }

    /** Transfers leadership if this replica is the leader, and stops all components. */
    public void stop() {
        EventLog.information(Event.ROLE_DRAINING, "role", "control");
        if (replica.isLeader()) {
            transferLeadership();
        }
        timer.shutdownNow();
        server.stop();
        replica.stop();
        administration.stop();
        transport.stop();
        EventLog.information(Event.ROLE_STOPPED, "role", "control");
    }

    private void transferLeadership() {
        try {
            replica.transferLeadership()
                    .toCompletableFuture()
                    .get(TRANSFER_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        } catch (java.util.concurrent.ExecutionException
                | java.util.concurrent.TimeoutException exception) {
            EventLog.warning(Event.LEADER_STEPPED_DOWN, "handover", "failed");
        }
    }
}
