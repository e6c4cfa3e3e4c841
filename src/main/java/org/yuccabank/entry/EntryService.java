package org.yuccabank.entry;

import com.codahale.metrics.MetricRegistry;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Objects;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.yuccabank.event.Event;
import org.yuccabank.event.EventLog;
import org.yuccabank.http.AdministrationServer;
import org.yuccabank.model.AccountId;
import org.yuccabank.policy.routing.AdmissionController;
import org.yuccabank.policy.routing.DeadlineAdmission;
import org.yuccabank.policy.routing.RetryBudget;
import org.yuccabank.policy.routing.RouterOptions;
import org.yuccabank.policy.routing.TwoChoicesRouter;
import org.yuccabank.protocol.LeaderClient;
import org.yuccabank.protocol.PeerHandler;
import org.yuccabank.protocol.PeerSecurity;
import org.yuccabank.protocol.PeerTimings;
import org.yuccabank.protocol.PeerTransport;
import org.yuccabank.protocol.generated.Hello;
import org.yuccabank.protocol.generated.Role;
import org.yuccabank.rules.Quota;
import reactor.core.scheduler.Scheduler;
import reactor.core.scheduler.Schedulers;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServer;

/**
 * The entry role, which serves the HTTP API for callers and operators.
 *
 * <p>Invariant: all routing and admission decisions run on one thread. Public methods may be called
 * from any thread.
 */
public final class EntryService {

    private static final int NETWORK_THREADS = 2;
    private static final long DIRECTORY_POLL_MILLIS = 200;
    private static final Duration DRAIN_POLL_INTERVAL = Duration.ofMillis(20);
    private static final Duration SERVER_STOP_TIMEOUT = Duration.ofSeconds(5);

    private final EntryConfiguration configuration;
    private final MetricRegistry metrics = new MetricRegistry();
    private final Scheduler decisionScheduler = Schedulers.newSingle("entry-decisions");
    private final PeerTransport transport;
    private final LeaderClient leaderClient;
    private final EntryDirectory directory;
    private final ControlClient controlClient;
    private final EntryRoutes routes;
    private DisposableServer httpServer;
    private AdministrationServer administrationServer;

    private EntryService(
            EntryConfiguration configuration,
            RequestAuthenticator authenticator,
            PeerSecurity security) {
        this.configuration = configuration;
        Hello hello =
                Hello.newBuilder()
                        .setProcessId(configuration.processId())
                        .setRole(Role.ENTRY)
                        .setDataCentre(configuration.dataCentre())
                        .setIncarnation(System.currentTimeMillis())
                        .build();
        transport =
                PeerTransport.start(
                        hello,
                        this::configurationVersion,
                        PeerTimings.defaults(),
                        security,
                        NETWORK_THREADS);
        directory =
                new EntryDirectory(
                        transport,
                        configuration.dataCentre(),
                        () -> TwoChoicesRouter.of(RouterOptions.defaults()));
        leaderClient =
                LeaderClient.of(transport, configuration.controlAddresses(), PeerHandler.none());
        controlClient =
                new ControlClient(configuration, leaderClient, directory, decisionScheduler);
        routes = routes(authenticator);
    }

    private EntryRoutes routes(RequestAuthenticator authenticator) {
        RandomGenerator random = RandomGenerator.of("L64X128MixRandom");
        AdmissionController admission = DeadlineAdmission.of(this::weight);
        RetryBudget budget = RetryBudget.ofPercent(configuration.retryBudgetPercent());
        IdempotentDispatcher idempotent =
                new IdempotentDispatcher(
                        directory,
                        admission,
                        budget,
                        decisionScheduler,
                        System::currentTimeMillis,
                        random);
        AtMostOnceDispatcher atMostOnce =
                new AtMostOnceDispatcher(
                        directory,
                        controlClient,
                        decisionScheduler,
                        System::currentTimeMillis,
                        random);
        return new EntryRoutes(
                configuration,
                new EntryRoutes.Dispatchers(
                        idempotent, atMostOnce, new CommandRoutes(controlClient)),
                authenticator,
                directory,
                controlClient,
                decisionScheduler,
                metrics);
    }

    private int weight(AccountId account) {
        return directory.rules().quota(account).map(Quota::weight).orElse(1);
    }

    private long configurationVersion() {
        return directory == null ? 0 : directory.configurationVersion();
    }

    /**
     * Creates a service without starting it.
     *
     * @param configuration configuration of the process
     * @param authenticator authenticates the senders of requests
     * @param security TLS settings of connections to control and agents
     * @return the service
     */
    public static EntryService of(
            EntryConfiguration configuration,
            RequestAuthenticator authenticator,
            PeerSecurity security) {
        Objects.requireNonNull(configuration, "configuration is null");
        return new EntryService(configuration, authenticator, security);
    }

    /**
     * Starts serving HTTP requests. Requests are admitted once control has sent the directory with
     * the current rules.
     *
     * @return this service
     */
    public EntryService start() {
        decisionScheduler.schedulePeriodically(
                () -> controlClient.pollDirectory(ConfigurationLease.Moment.now()),
                0,
                DIRECTORY_POLL_MILLIS,
                TimeUnit.MILLISECONDS);
        httpServer =
                HttpServer.create()
                        .bindAddress(configuration::httpAddress)
                        .route(routes::register)
                        .bindNow();
        administrationServer =
                AdministrationServer.start(
                        configuration.administrationAddress(), metrics, routes::isAdmitting);
        EventLog.information(
                Event.ROLE_STARTED,
                "role",
                "entry",
                "process",
                configuration.processId(),
                "address",
                httpServer.address(),
                "administration",
                administrationServer.address());
        return this;
    }

    /**
     * Returns the listen address for callers and operators.
     *
     * @return the address with the bound port
     */
    public InetSocketAddress httpAddress() {
        return (InetSocketAddress) httpServer.address();
    }

    /**
     * Returns the listen address for metrics and health checks.
     *
     * @return the address with the bound port
     */
    public InetSocketAddress administrationAddress() {
        return administrationServer.address();
    }

    /**
     * Refuses new requests, waits for requests in progress and stops the service.
     *
     * @return false if requests were still in progress when the drain timeout expired
     */
    public boolean stop() {
        EventLog.information(
                Event.ROLE_DRAINING, "role", "entry", "inProgress", routes.inProgress());
        routes.startDrain();
        boolean drained = awaitDrain();
        if (!drained) {
            EventLog.warning(Event.DRAIN_TIMEOUT, "inProgress", routes.inProgress());
        }
        httpServer.disposeNow(SERVER_STOP_TIMEOUT);
        administrationServer.stop();
        leaderClient.stop();
        transport.stop();
        decisionScheduler.dispose();
        EventLog.information(Event.ROLE_STOPPED, "role", "entry");
        return drained;
    }

    private boolean awaitDrain() {
        long timeoutMillis = configuration.drainTimeoutMillis();
        long startNanos = System.nanoTime();
        while (routes.inProgress() > 0) {
            long waitedMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
            if (timeoutMillis > 0 && waitedMillis > timeoutMillis) {
                return false;
            }
            try {
                Thread.sleep(DRAIN_POLL_INTERVAL.toMillis());
            } catch (InterruptedException exception) {
                Thread.currentThread().interrupt();
                return false;
            }
        }
        return true;
    }
}
