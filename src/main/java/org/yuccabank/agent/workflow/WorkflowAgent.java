package org.yuccabank.agent.workflow;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.yuccabank.event.Event;
import org.yuccabank.event.EventLog;
import org.yuccabank.policy.workflow.BestEffortThrottle;
import org.yuccabank.protocol.LeaderClient;
import org.yuccabank.protocol.PeerConnection;
import org.yuccabank.protocol.PeerTransport;
import org.yuccabank.protocol.generated.ActiveRun;
import org.yuccabank.protocol.generated.Envelope;
import org.yuccabank.protocol.generated.Hello;
import org.yuccabank.protocol.generated.Role;
import org.yuccabank.protocol.generated.RunAddress;
import org.yuccabank.protocol.generated.WorkerDirectives;
import org.yuccabank.protocol.generated.WorkerIdentity;
import org.yuccabank.protocol.generated.WorkerReport;
import reactor.core.publisher.Mono;
import reactor.core.publisher.MonoSink;

/**
 * The agent that reports the runs of a worker and carries out the leader's directives.
 *
 * <p>Invariants: directives from a leader of an earlier term are ignored; a lease is renewed only
 * up to the horizon of the leader's last answer; the outcome of an unanswered call follows from the
 * worker's list. Public methods may be called by any thread; all else runs on one event loop.
 */
public final class WorkflowAgent {

    private static final long REPORT_INTERVAL_MILLIS = 600;
    private static final Duration REPORT_TIMEOUT = Duration.ofMillis(1_000);

    /** Longest step by which the token is raised while the worker refuses it. */
    private static final long MAXIMUM_FENCED_STEPS = 512;

    private static final long REPORT_RETRY_MILLIS = 150;

    private final WorkflowAgentConfiguration configuration;
    private final WorkerApi api;
    private final PeerTransport transport;
    private final EventLoop loop;
    private final LeaderClient leader;
    private final WorkerLease lease;
    private final RunTable runs = new RunTable();
    private final CrashEvidence crashEvidence = new CrashEvidence(runs::crash);
    private final RunCalls calls;
    private final WorkerLists lists;
    private final BestEffortThrottle throttle = new BestEffortThrottle();
    private final List<MonoSink<Boolean>> waitingForLeader = new ArrayList<>();
    private final WorkerShutdown shutdown = new WorkerShutdown();
    private Optional<WorkerAnnouncement> worker = Optional.empty();
    private long announcedAtMillis;
    private long joinedAtMillis;
    private long fencedSteps = 1;
    private final DirectiveOrder order = new DirectiveOrder();
    private long reportedTerm;
    private final long reporterId = ThreadLocalRandom.current().nextLong();
    private long reportSequence;
    private boolean reportInProgress;
    private boolean reportRequested;
    private boolean stopped;

    /**
     * Whether the leader has answered a list of this process. The starts that a previous process
     * may have sent are among those of the first answer, as its list does not contain them.
     */
    private boolean listAnswered;

    private WorkflowAgent(
            WorkflowAgentConfiguration configuration, WorkerApi api, EventLoopGroup eventLoops) {
        this.configuration = configuration;
        this.api = api;
        Hello hello =
                Hello.newBuilder()
                        .setProcessId(configuration.processId())
                        .setRole(Role.AGENT)
                        .setDataCentre(configuration.dataCentre())
                        .setIncarnation(System.currentTimeMillis())
                        .build();
        transport = PeerTransport.startOn(hello, eventLoops);
        loop = transport.eventLoop();
        leader = LeaderClient.of(transport, configuration.controlAddresses(), this::onMessage);
        lease = new WorkerLease(configuration.lease());
        lists = new WorkerLists(api, loop, order, runs, lease, listContext());
        calls =
                new RunCalls(
                        api,
                        loop,
                        lease,
                        runs,
                        configuration.maximumAnnouncementAgeMillis(),
                        context());
    }

    /**
     * Creates and starts an agent.
     *
     * @param configuration its configuration
     * @param api API of its worker
     * @param eventLoops event loop group that provides the agent's loop; not shut down by the agent
     * @return the running agent
     */
    public static WorkflowAgent start(
            WorkflowAgentConfiguration configuration, WorkerApi api, EventLoopGroup eventLoops) {
        Objects.requireNonNull(api, "api is null");
        WorkflowAgent agent = new WorkflowAgent(configuration, api, eventLoops);
        var unused =
                agent.loop.scheduleWithFixedDelay(
                        agent::tick,
                        REPORT_INTERVAL_MILLIS,
                        REPORT_INTERVAL_MILLIS,
                        TimeUnit.MILLISECONDS);
        EventLog.information(
                Event.ROLE_STARTED, "role", "agent", "process", configuration.processId());
        return agent;
    }

    /** Replaces the configured addresses of control processes. */
    public void replaceControlAddresses(List<InetSocketAddress> addresses) {
        leader.updateConfiguredAddresses(addresses);
    }

    /** Stops the agent. The worker's lease expires unless another agent process takes over. */
    public void stop() {
        stopped = true;
        lists.stop();
        leader.stop();
        transport.stop();
        EventLog.information(Event.ROLE_STOPPED, "role", "agent");
    }

    static long nowMillis() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }

    private RunCalls.Context context() {
        return new RunCalls.Context() {
            @Override
            public Optional<WorkerAnnouncement> worker() {
                return worker;
            }

            @Override
            public long announcedAtMillis() {
                return announcedAtMillis;
            }

            @Override
            public long joinedAtMillis() {
                return joinedAtMillis;
            }

            @Override
            public long fencingToken() {
                return order.fencingToken();
            }

            @Override
            public void requestReport() {
                WorkflowAgent.this.requestReport();
            }

            @Override
            public void requestList() {
                lists.request();
            }
        };
    }

    /**
     * Handles an announcement of the worker.
     *
     * @param announcement the announcement
     * @return completes with true once the announcement is recorded or, if the worker starts to
     *     drain, once the leader has answered a report of it
     */
    public Mono<Boolean> announce(WorkerAnnouncement announcement) {
        return onLoop(sink -> accept(announcement, sink));
    }

    /**
     * Handles the shutdown of the worker, whose runs the leader stops. A worker announces that it
     * drains before it shuts down, so a shutdown without it comes from another writer.
     *
     * @param workerId identifier of the worker
     * @return completes with true once the leader has answered a report that the worker runs
     *     nothing any more, immediately for an unknown worker, or with false if the worker does not
     *     drain
     */
    public Mono<Boolean> leave(String workerId) {
        return onLoop(
                sink -> {
                    boolean knownWorker =
                            worker.map(each -> each.identity().getWorkerId().equals(workerId))
                                    .orElse(false);
                    if (!knownWorker) {
                        sink.success(true);
                        return;
                    }
                    if (!worker.map(WorkerAnnouncement::draining).orElse(false)) {
                        sink.success(false);
                        return;
                    }
                    shutdown.request(sink);
                    requestReport();
                });
    }

    private Mono<Boolean> onLoop(Consumer<MonoSink<Boolean>> action) {
        return Mono.create(sink -> loop.execute(() -> action.accept(sink)));
    }

    private void accept(WorkerAnnouncement announcement, MonoSink<Boolean> sink) {
        if (isOutdated(announcement)) {
            sink.success(true);
        } else if (isCurrentIncarnation(announcement) || lists.hasAnswered(announcement)) {
            record(announcement, sink);
        } else {
            api.identify(announcement, order.fencingToken())
                    .subscribe(
                            identification ->
                                    loop.execute(
                                            () ->
                                                    onIdentified(
                                                            announcement, identification, sink)));
        }
    }

    /**
     * Records an announcement of another incarnation if the worker has confirmed it. The runs of
     * the previous incarnation count as ended from then on, so an announcement by anyone else must
     * not be taken for it. An agent that knows no worker yet may be fenced, as it knows no leader
     * either; an incarnation that follows a known one has not received any call.
     */
    private void onIdentified(
            WorkerAnnouncement announcement,
            WorkerApi.Identification identification,
            MonoSink<Boolean> sink) {
        boolean confirmed =
                identification == WorkerApi.Identification.CONFIRMED
                        || (identification == WorkerApi.Identification.FENCED && worker.isEmpty());
        if (!confirmed) {
            WorkflowAgentLog.announcementRefused(announcement.identity(), identification);
            sink.success(false);
        } else if (isOutdated(announcement)) {
            sink.success(true);
        } else {
            record(announcement, sink);
        }
    }

    private boolean isOutdated(WorkerAnnouncement announcement) {
        return worker.isPresent() && !announcement.isNewerThan(worker.get());
    }

    private boolean isCurrentIncarnation(WorkerAnnouncement announcement) {
        return worker.map(each -> each.identity().equals(announcement.identity())).orElse(false);
    }

    private void record(WorkerAnnouncement announcement, MonoSink<Boolean> sink) {
        boolean sameIncarnation = isCurrentIncarnation(announcement);
        boolean startsDraining =
                announcement.draining()
                        && !(sameIncarnation
                                && worker.map(WorkerAnnouncement::draining).orElse(false));
        Optional<WorkerAnnouncement> previous = worker;
        boolean capacityChanged =
                worker.map(each -> !each.capacity().equals(announcement.capacity())).orElse(true);
        worker = Optional.of(announcement);
        announcedAtMillis = nowMillis();
        if (!sameIncarnation) {
            previous.ifPresent(this::onReplaced);
            onNewIncarnation(announcement, previous);
        } else if (capacityChanged || runs.hasWaitingStart()) {
            requestReport();
        }
        if (startsDraining) {
            waitingForLeader.add(sink);
            requestReport();
        } else {
            sink.success(true);
        }
    }

    private void onReplaced(WorkerAnnouncement previous) {
        crashEvidence.recordReplaced(
                previous.identity(), shutdown.isRequested() || previous.draining(), nowMillis());
    }

    private void onNewIncarnation(
            WorkerAnnouncement announcement, Optional<WorkerAnnouncement> previous) {
        boolean bornAgain = previous.filter(announcement::hasSameIdentifier).isPresent();
        if (previous.isPresent()) {
            order.raiseFencingToken(1);
            runs.clear(bornAgain && lists.listedTerm() > 0, lists.unsettledNumber());
        }
        lease.reset(nowMillis(), bornAgain);
        lease.sampleClock(announcement.clockMillis(), nowMillis());
        shutdown.reset();
        lists.reset();
        joinedAtMillis = nowMillis();
        WorkflowAgentLog.joined(announcement.identity());
        requestReport();
        lists.request();
    }

    private void tick() {
        requestReport();
        lists.request();
        runs.entries().stream()
                .filter(
                        entry ->
                                entry.stage() != RunEntry.Stage.STARTING || entry.isStopRequested())
                .forEach(calls::advance);
    }

    // Reports

    private void requestReport() {
        reportRequested = true;
        if (!reportInProgress && !stopped) {
            sendReport();
        }
    }

    private void sendReport() {
        if (worker.isEmpty()) {
            return;
        }
        reportRequested = false;
        reportInProgress = true;
        long sentMillis = nowMillis();
        List<MonoSink<Boolean>> notifiedSinks = List.copyOf(waitingForLeader);
        OptionalLong workerClock = lease.workerClock(sentMillis);
        WorkerReport report = report(sentMillis);
        leader.request(Envelope.newBuilder().setWorkerReport(report).build(), REPORT_TIMEOUT)
                .subscribe(
                        reply ->
                                loop.execute(
                                        () -> onReply(reply, report, workerClock, notifiedSinks)),
                        error -> loop.execute(() -> onReportFailure(error)));
    }

    private void onReportFailure(Throwable error) {
        reportInProgress = false;
        EventLog.warning(Event.CONNECTION_CLOSED, "peer", "leader", "problem", error.getMessage());
        if (reportRequested) {
            schedule(this::requestReport);
        }
    }

    private void onReply(
            Envelope reply,
            WorkerReport report,
            OptionalLong workerClock,
            List<MonoSink<Boolean>> notifiedSinks) {
        reportInProgress = false;
        if (!reply.hasWorkerDirectives()) {
            schedule(this::requestReport);
            return;
        }
        boolean current =
                worker.map(each -> each.identity().equals(report.getWorker())).orElse(false);
        boolean valid = current && order.isAnswer(reply.getWorkerDirectives(), report);
        if (valid) {
            lease.grant(workerClock, report.hasLeaseLeftMillis());
        }
        notifiedSinks.forEach(sink -> sink.success(true));
        waitingForLeader.removeAll(notifiedSinks);
        applyDirectives(reply.getWorkerDirectives());
        if (valid) {
            shutdown.confirm(report);
            listAnswered |=
                    report.getListed() && report.getTerm() == reply.getWorkerDirectives().getTerm();
            advanceConfirmed(report);
        }
        if (reportRequested) {
            requestReport();
        }
    }

    /**
     * Sends the starts that had to wait and that the leader has just confirmed by not stopping
     * them. Without that answer the leader may have ended the run, for example while this host was
     * suspended, and the same answer may grant the lease again.
     */
    private void advanceConfirmed(WorkerReport answered) {
        for (ActiveRun run : answered.getActiveList()) {
            runs.entry(run.getRun())
                    .filter(entry -> entry.stage() == RunEntry.Stage.STARTING)
                    .ifPresent(calls::advance);
        }
    }

    private WorkerReport report(long now) {
        WorkerAnnouncement announced = worker.orElseThrow();
        boolean listed = lists.isCurrent(now);
        WorkerReport.Builder report =
                announced
                        .toReport(configuration.hostId())
                        .setLeaving(shutdown.isRequested())
                        .setWorkerPresent(listed)
                        .setListed(listed)
                        .setTerm(lists.listedTerm())
                        .setSequence(++reportSequence)
                        .setReporterId(reporterId)
                        .setKnownTerm(order.term())
                        .setKnownNumber(order.number())
                        .addAllEnded(runs.ended());
        if (listed) {
            report.addAllActive(runs.active());
        }
        if (lists.listedTerm() != reportedTerm) {
            report.addAllPressures(runs.knownPressures());
            reportedTerm = lists.listedTerm();
        }
        crashEvidence.latest(announced.identity(), now).ifPresent(report::setCrash);
        report.addAllEarlierCrashes(crashEvidence.earlier(now));
        lease.promiseTimeLeft(now).ifPresent(report::setLeaseLeftMillis);
        return report.build();
    }

    // Directives

    private Mono<Envelope> onMessage(PeerConnection from, Envelope message) {
        if (message.hasWorkerDirectives()) {
            loop.execute(() -> applyDirectives(message.getWorkerDirectives()));
        }
        return Mono.empty();
    }

    private void applyDirectives(WorkerDirectives directives) {
        boolean current =
                worker.map(each -> each.identity().equals(directives.getWorker())).orElse(false);
        long previousToken = order.fencingToken();
        // Those for another incarnation tell the newest term and token, too.
        if (!order.advance(directives)) {
            return;
        }
        if (order.fencingToken() > previousToken) {
            // The worker fences calls of former leaders and for former incarnations from then on.
            lists.request();
        }
        leader.updateMembers(directives.getControlAddressesList());
        if (!current) {
            return;
        }
        runs.acknowledge(directives.getAcknowledgedNumber());
        runs.removeSettled(directives.getSettledList());
        lists.resumeIfAcknowledged();
        runs.updatePressures(directives.getPressuresList());
        // The size of every run has to be known before the first start is checked against the
        // capacity.
        List<RunEntry> added =
                directives.getStartsList().stream()
                        .flatMap(start -> runs.addStart(start, !listAnswered).stream())
                        .toList();
        added.forEach(calls::advance);
        for (RunAddress run : directives.getStopsList()) {
            calls.advance(runs.requestStop(run));
        }
    }

    private void schedule(Runnable action) {
        var unused = loop.schedule(action, REPORT_RETRY_MILLIS, TimeUnit.MILLISECONDS);
    }

    // Lists

    private WorkerLists.Context listContext() {
        return new WorkerLists.Context() {
            @Override
            public Optional<WorkerAnnouncement> worker() {
                return worker;
            }

            @Override
            public void onListing(
                    WorkerAnnouncement target,
                    WorkerApi.ListOutcome.Listing listing,
                    long requestedMillis,
                    boolean firstOfTerm) {
                applyListing(target, listing, requestedMillis, firstOfTerm);
            }

            @Override
            public void onUnavailable(WorkerIdentity identity, WorkerApi.ListOutcome outcome) {
                recordUnavailable(identity, outcome);
            }
        };
    }

    private void applyListing(
            WorkerAnnouncement target,
            WorkerApi.ListOutcome.Listing listing,
            long requestedMillis,
            boolean firstOfTerm) {
        long now = nowMillis();
        fencedSteps = 1;
        lease.sampleClock(listing.clockMillis(), now);
        lease.markResponsive();
        boolean changed = runs.applyListing(listing, requestedMillis);
        runs.recordAnswer(listing.active().stream().map(ActiveRun::getRun).toList(), now);
        runs.entries().stream().filter(RunEntry::isStopRequested).forEach(calls::advance);
        boolean recovered = crashEvidence.recordResponsive(true, now);
        adjustSpeeds(target, now);
        if (changed || firstOfTerm || recovered) {
            requestReport();
        }
    }

    private void recordUnavailable(WorkerIdentity identity, WorkerApi.ListOutcome outcome) {
        if (outcome instanceof WorkerApi.ListOutcome.NotListening && shutdown.isRequested()) {
            lease.markEnded();
        }
        lease.markUnresponsive();
        boolean interrupted = crashEvidence.recordResponsive(false, nowMillis());
        if (outcome instanceof WorkerApi.ListOutcome.Fenced) {
            // Only a former process of this agent can have used a higher token of this term.
            order.raiseFencingToken(fencedSteps);
            fencedSteps = Math.min(2 * fencedSteps, MAXIMUM_FENCED_STEPS);
        } else if (interrupted) {
            order.raiseFencingToken(1);
        }
        if (interrupted || shutdown.isRequested()) {
            requestReport();
        }
        WorkflowAgentLog.unreachable(identity, outcome);
    }

    private void adjustSpeeds(WorkerAnnouncement target, long now) {
        throttle.decide(runs.servingRuns(), runs.bestEffortRuns(), runs.pressures(), now)
                .forEach((entry, percent) -> sendSpeed(target, entry, percent));
        runs.entries().stream()
                .filter(entry -> entry.unconfirmedSpeed().isPresent())
                .forEach(entry -> sendSpeed(target, entry, entry.unconfirmedSpeed().getAsInt()));
    }

    /** Sends a speed to the worker. An unanswered call is repeated after the next list. */
    private void sendSpeed(WorkerAnnouncement target, RunEntry entry, int percent) {
        entry.beginSpeedChange(percent);
        api.setSpeed(target, entry.run(), percent, order.fencingToken())
                .subscribe(
                        outcome -> {
                            boolean done = outcome instanceof WorkerApi.CallOutcome.Done;
                            loop.execute(() -> entry.endSpeedChange(percent, done));
                        });
    }
}
