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
import org.yuccabank.model.Resources;
import org.yuccabank.policy.workflow.FillerPacing;
import org.yuccabank.protocol.LeaderClient;
import org.yuccabank.protocol.PeerConnection;
import org.yuccabank.protocol.PeerTransport;
import org.yuccabank.protocol.generated.Envelope;
import org.yuccabank.protocol.generated.Hello;
import org.yuccabank.protocol.generated.ResourceVector;
import org.yuccabank.protocol.generated.Role;
import org.yuccabank.protocol.generated.RunAddress;
import org.yuccabank.protocol.generated.StartRun;
import org.yuccabank.protocol.generated.WorkerDirectives;
import org.yuccabank.protocol.generated.WorkerIdentity;
import org.yuccabank.protocol.generated.WorkerReport;
import reactor.core.publisher.Mono;
import reactor.core.publisher.MonoSink;

/**
 * The agent beside a worker: reports what runs there and carries out the orders of the leader.
 *
 * <p>Invariants: orders of a leader of an earlier term are ignored; a lease is renewed only as far
 * as the leader has answered; an order without an answer is settled by the worker's own list.
 * Everything runs on one event loop; the public methods may be called by any thread.
 */
public final class WorkflowAgent {

    private static final long REPORT_INTERVAL_MILLIS = 600;
    private static final Duration REPORT_TIMEOUT = Duration.ofMillis(1_000);

    /** Longest wait of the worker for an end, while it runs something. */
    private static final long LIST_WAIT_MILLIS = 450;

    /**
     * Pause after a list with ends that the leader has not acknowledged: the worker repeats them at
     * once in each list. The acknowledgement ends the pause.
     */
    private static final long UNACKNOWLEDGED_PAUSE_MILLIS = 100;

    /** Pause after a list that failed. */
    private static final long LIST_PAUSE_MILLIS = 200;

    /** A list that is older does not count as what the worker runs now. */
    private static final long LIST_VALID_MILLIS = 1_500;

    /** A run whose start was not answered this often is stopped. */
    private static final int MAXIMUM_START_TRIES = 8;

    private static final long ORDER_RETRY_MILLIS = 150;
    private static final long STOP_RETRY_MILLIS = 500;

    private final WorkflowAgentConfiguration configuration;
    private final WorkerPort port;
    private final PeerTransport transport;
    private final EventLoop loop;
    private final LeaderClient leader;
    private final WorkerLease lease;
    private final RunTable runs = new RunTable();
    private final FillerPacing pacing = new FillerPacing();
    private final List<MonoSink<Boolean>> waitingForLeader = new ArrayList<>();
    private Optional<WorkerAnnouncement> worker = Optional.empty();
    private boolean leaving;
    private long term;
    private long listedTerm;
    private long reportedTerm;
    private long listedAtMillis = Long.MIN_VALUE / 2;
    private boolean listInProgress;
    private boolean listWanted;
    private boolean listsPaused;
    private final long reporterId = ThreadLocalRandom.current().nextLong();
    private long reportSequence;
    private boolean reportInProgress;
    private boolean reportWanted;
    private boolean stopped;

    private WorkflowAgent(
            WorkflowAgentConfiguration configuration, WorkerPort port, EventLoopGroup threads) {
        this.configuration = configuration;
        this.port = port;
        Hello greeting =
                Hello.newBuilder()
                        .setProcessId(configuration.processId())
                        .setRole(Role.AGENT)
                        .setDataCentre(configuration.dataCentre())
                        .setIncarnation(System.currentTimeMillis())
                        .build();
        transport = PeerTransport.startOn(greeting, threads);
        loop = transport.eventLoop();
        leader = LeaderClient.of(transport, configuration.controlAddresses(), this::onMessage);
        lease = new WorkerLease(configuration.lease());
    }

    /**
     * Creates and starts an agent.
     *
     * @param configuration its configuration
     * @param port the worker beside it
     * @param threads network threads; the agent runs on one of them and does not end them
     * @return the agent
     */
    public static WorkflowAgent start(
            WorkflowAgentConfiguration configuration, WorkerPort port, EventLoopGroup threads) {
        Objects.requireNonNull(port, "port is null");
        WorkflowAgent agent = new WorkflowAgent(configuration, port, threads);
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

    /**
     * Replaces the configured addresses of control processes.
     *
     * @param addresses the addresses
     */
    public void useControlAddresses(List<InetSocketAddress> addresses) {
        leader.updateConfiguredAddresses(addresses);
    }

    /** Stops the agent; the worker's lease runs out unless another agent takes over. */
    public void stop() {
        stopped = true;
        leader.stop();
        transport.stop();
        EventLog.information(Event.ROLE_STOPPED, "role", "agent");
    }

    private static long nowMillis() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }

    /**
     * Takes what the worker says about itself.
     *
     * @param announcement the announcement
     * @return completes with true once it is known here, or at the leader if the worker is leaving
     */
    public Mono<Boolean> announce(WorkerAnnouncement announcement) {
        return onLoop(sink -> accept(announcement, sink));
    }

    /**
     * The worker has ended.
     *
     * @param workerId identifier of the worker
     * @return completes with true once the leader knows
     */
    public Mono<Boolean> leave(String workerId) {
        return onLoop(
                sink -> {
                    boolean known =
                            worker.map(each -> each.identity().getWorkerId().equals(workerId))
                                    .orElse(false);
                    if (!known) {
                        sink.success(true);
                        return;
                    }
                    leaving = true;
                    waitingForLeader.add(sink);
                    wantReport();
                });
    }

    private Mono<Boolean> onLoop(Consumer<MonoSink<Boolean>> action) {
        return Mono.create(sink -> loop.execute(() -> action.accept(sink)));
    }

    private void accept(WorkerAnnouncement announcement, MonoSink<Boolean> sink) {
        boolean newer = worker.map(announcement::isNewerThan).orElse(true);
        if (!newer) {
            sink.success(true);
            return;
        }
        boolean sameIncarnation =
                worker.map(each -> each.identity().equals(announcement.identity())).orElse(false);
        boolean startsDraining =
                announcement.draining()
                        && !(sameIncarnation
                                && worker.map(WorkerAnnouncement::draining).orElse(false));
        worker = Optional.of(announcement);
        if (!sameIncarnation) {
            newIncarnation(announcement);
        }
        if (startsDraining) {
            waitingForLeader.add(sink);
            wantReport();
        } else {
            sink.success(true);
        }
    }

    private void newIncarnation(WorkerAnnouncement announcement) {
        runs.clear();
        lease.reset();
        lease.sample(announcement.clockMillis(), nowMillis());
        leaving = false;
        listedTerm = 0;
        listedAtMillis = Long.MIN_VALUE / 2;
        EventLog.information(
                Event.HOST_JOINED,
                "worker",
                announcement.identity().getWorkerId(),
                "born",
                announcement.identity().getBornMillis());
        wantReport();
        wantList();
    }

    private void tick() {
        wantReport();
        wantList();
        for (RunEntry entry : runs.entries()) {
            drive(entry);
        }
    }

    // Reports

    private void wantReport() {
        reportWanted = true;
        if (!reportInProgress && !stopped) {
            sendReport();
        }
    }

    private void sendReport() {
        if (worker.isEmpty()) {
            return;
        }
        reportWanted = false;
        reportInProgress = true;
        long sentMillis = nowMillis();
        List<MonoSink<Boolean>> answered = List.copyOf(waitingForLeader);
        OptionalLong workerClock = lease.workerClock(sentMillis);
        WorkerReport report = report(sentMillis);
        leader.request(Envelope.newBuilder().setWorkerReport(report).build(), REPORT_TIMEOUT)
                .subscribe(
                        reply ->
                                loop.execute(() -> endReport(reply, report, workerClock, answered)),
                        error -> loop.execute(() -> failReport(error)));
    }

    private void failReport(Throwable error) {
        reportInProgress = false;
        EventLog.warning(Event.CONNECTION_CLOSED, "peer", "leader", "problem", error.getMessage());
        if (reportWanted) {
            schedule(this::wantReport);
        }
    }

    private void endReport(
            Envelope reply,
            WorkerReport report,
            OptionalLong workerClock,
            List<MonoSink<Boolean>> answered) {
        reportInProgress = false;
        if (!reply.hasWorkerDirectives()) {
            schedule(this::wantReport);
            return;
        }
        boolean current =
                worker.map(each -> each.identity().equals(report.getWorker())).orElse(false);
        if (current && reply.getWorkerDirectives().getTerm() >= term) {
            lease.grant(workerClock, report.hasLeaseLeftMillis());
        }
        answered.forEach(sink -> sink.success(true));
        waitingForLeader.removeAll(answered);
        follow(reply.getWorkerDirectives());
        if (reportWanted) {
            wantReport();
        }
    }

    private WorkerReport report(long now) {
        WorkerAnnouncement present = worker.orElseThrow();
        boolean listed = listedTerm > 0 && now - listedAtMillis < LIST_VALID_MILLIS;
        WorkerReport.Builder report =
                WorkerReport.newBuilder()
                        .setHostId(configuration.hostId())
                        .setWorker(present.identity())
                        .setService(present.service())
                        .setDataCentre(present.dataCentre())
                        .setRack(present.rack())
                        .addAllLabels(present.labels())
                        .setCapacity(vector(present.capacity()))
                        .setDraining(present.draining())
                        .setLeaving(leaving)
                        .setWorkerPresent(listed)
                        .setListed(listed)
                        .setTerm(listedTerm)
                        .setSequence(++reportSequence)
                        .setReporterId(reporterId)
                        .addAllEnded(runs.ended());
        if (listed) {
            report.addAllActive(runs.active());
        }
        if (listedTerm != reportedTerm) {
            report.addAllPressures(runs.knownPressures());
            reportedTerm = listedTerm;
        }
        lease.tellTimeLeft(now).ifPresent(report::setLeaseLeftMillis);
        return report.build();
    }

    private static ResourceVector vector(Resources resources) {
        return ResourceVector.newBuilder()
                .setProcessorMillis(resources.processorMillis())
                .setMemoryMebibytes(resources.memoryMebibytes())
                .setAccelerators(resources.accelerators())
                .build();
    }

    // Orders

    private Mono<Envelope> onMessage(PeerConnection from, Envelope message) {
        if (message.hasWorkerDirectives()) {
            loop.execute(() -> follow(message.getWorkerDirectives()));
        }
        return Mono.empty();
    }

    private void follow(WorkerDirectives directives) {
        boolean current =
                worker.map(each -> each.identity().equals(directives.getWorker())).orElse(false);
        if (directives.getTerm() < term || !current) {
            return;
        }
        if (directives.getTerm() > term) {
            term = directives.getTerm();
            wantList();
        }
        leader.updateMembers(directives.getControlAddressesList());
        runs.acknowledge(directives.getAcknowledgedNumber());
        runs.settle(directives.getSettledList());
        if (listsPaused && !runs.hasUnacknowledgedEnds()) {
            resumeLists();
        }
        runs.learnPressures(directives.getPressuresList());
        for (StartRun order : directives.getStartsList()) {
            runs.order(order).ifPresent(this::drive);
        }
        for (RunAddress run : directives.getStopsList()) {
            drive(runs.stop(run));
        }
    }

    /** Does what a run needs next, unless a call for it is in progress. */
    private void drive(RunEntry entry) {
        if (entry.isCallInProgress() || worker.isEmpty() || term == 0) {
            return;
        }
        switch (entry.stage()) {
            case STARTING -> {
                if (entry.isStopWanted()) {
                    sendStop(entry);
                } else {
                    sendStart(entry);
                }
            }
            case DOUBTFUL -> sendStop(entry);
            case STARTED, CHECKING -> {
                if (entry.isStopWanted()) {
                    sendStop(entry);
                }
            }
            default -> {
                // An ended run needs nothing.
            }
        }
    }

    private void sendStart(RunEntry entry) {
        OptionalLong leaseEnd = lease.renew(nowMillis());
        if (leaseEnd.isEmpty()) {
            return;
        }
        entry.setCallInProgress(true);
        WorkerAnnouncement target = worker.orElseThrow();
        port.start(target, entry.order().orElseThrow(), new WorkerPort.Fence(term, leaseEnd))
                .subscribe(outcome -> loop.execute(() -> endStart(entry, target, outcome)));
    }

    private void endStart(
            RunEntry entry, WorkerAnnouncement target, WorkerPort.CallOutcome outcome) {
        entry.setCallInProgress(false);
        if (!isCurrent(entry, target) || entry.stage() != RunEntry.Stage.STARTING) {
            return;
        }
        if (outcome instanceof WorkerPort.CallOutcome.Done) {
            entry.setStage(RunEntry.Stage.STARTED);
        } else if (outcome instanceof WorkerPort.CallOutcome.Refused refused) {
            refuseStart(entry, refused.refusal());
        } else {
            doubtStart(entry, ((WorkerPort.CallOutcome.Unanswered) outcome).detail());
        }
        drive(entry);
    }

    private boolean isCurrent(RunEntry entry, WorkerAnnouncement target) {
        boolean sameWorker =
                worker.map(each -> each.identity().equals(target.identity())).orElse(false);
        return sameWorker && runs.entry(entry.run()).filter(each -> each == entry).isPresent();
    }

    private void refuseStart(RunEntry entry, WorkerPort.Refusal refusal) {
        logUnsettled(entry, "start refused: " + refusal);
        switch (refusal) {
            case LATE -> schedule(() -> drive(entry));
            case OUTDATED -> entry.checkSince(nowMillis());
            default -> {
                entry.endUnstarted(refusal.toString());
                wantReport();
            }
        }
    }

    private void doubtStart(RunEntry entry, String detail) {
        logUnsettled(entry, "start not answered: " + detail);
        if (entry.nextTry() >= MAXIMUM_START_TRIES) {
            entry.setStage(RunEntry.Stage.DOUBTFUL);
        }
    }

    private void sendStop(RunEntry entry) {
        if (!entry.mayStopAgain(nowMillis(), STOP_RETRY_MILLIS)) {
            return;
        }
        entry.setCallInProgress(true);
        entry.noteStop(nowMillis());
        WorkerAnnouncement target = worker.orElseThrow();
        port.stop(target, entry.run(), term)
                .subscribe(outcome -> loop.execute(() -> endStop(entry, target, outcome)));
    }

    private void endStop(
            RunEntry entry, WorkerAnnouncement target, WorkerPort.CallOutcome outcome) {
        entry.setCallInProgress(false);
        if (!isCurrent(entry, target) || entry.stage() == RunEntry.Stage.ENDED) {
            return;
        }
        if (outcome instanceof WorkerPort.CallOutcome.Done) {
            entry.checkSince(nowMillis());
            wantList();
        } else {
            logUnsettled(entry, "stop: " + outcome);
        }
    }

    private static void logUnsettled(RunEntry entry, String detail) {
        EventLog.warning(
                Event.ORDER_UNSETTLED,
                "workflow",
                entry.run().getTask().getWorkflowId(),
                "step",
                entry.run().getTask().getStep(),
                "index",
                entry.run().getTask().getIndex(),
                "attempt",
                entry.run().getAttempt(),
                "detail",
                detail);
    }

    private void schedule(Runnable action) {
        var unused = loop.schedule(action, ORDER_RETRY_MILLIS, TimeUnit.MILLISECONDS);
    }

    // Lists

    private void wantList() {
        listWanted = true;
        if (!listInProgress && worker.isPresent() && term > 0 && !stopped) {
            sendList();
        }
    }

    private void sendList() {
        listInProgress = true;
        listsPaused = false;
        boolean hurried = listWanted && listedTerm != term;
        listWanted = false;
        long requestedMillis = nowMillis();
        long requestTerm = term;
        WorkerAnnouncement target = worker.orElseThrow();
        WorkerPort.Fence fence = new WorkerPort.Fence(term, lease.renew(requestedMillis));
        port.list(target, fence, runs.acknowledgedNumber(), hurried ? 0 : LIST_WAIT_MILLIS)
                .subscribe(
                        outcome ->
                                loop.execute(
                                        () ->
                                                endList(
                                                        outcome,
                                                        target,
                                                        requestTerm,
                                                        requestedMillis)));
    }

    private void endList(
            WorkerPort.ListOutcome outcome,
            WorkerAnnouncement target,
            long requestTerm,
            long requestedMillis) {
        listInProgress = false;
        WorkerIdentity identity = target.identity();
        boolean current = worker.map(each -> each.identity().equals(identity)).orElse(false);
        if (!current || requestTerm != term) {
            wantList();
            return;
        }
        if (outcome instanceof WorkerPort.ListOutcome.Unavailable unavailable) {
            lease.unanswered();
            EventLog.warning(
                    Event.WORKER_UNREACHABLE,
                    "worker",
                    identity.getWorkerId(),
                    "detail",
                    unavailable.detail());
            var unused = loop.schedule(this::wantList, LIST_PAUSE_MILLIS, TimeUnit.MILLISECONDS);
            return;
        }
        WorkerPort.ListOutcome.Listing listing = (WorkerPort.ListOutcome.Listing) outcome;
        long now = nowMillis();
        boolean first = listedTerm != requestTerm;
        listedTerm = requestTerm;
        listedAtMillis = now;
        lease.sample(listing.clockMillis(), now);
        lease.answered();
        boolean changed = runs.list(listing.active(), listing.ended(), requestedMillis);
        pace(target, now);
        if (changed || first) {
            wantReport();
        }
        if (runs.hasUnacknowledgedEnds()) {
            pauseLists();
        } else {
            wantList();
        }
    }

    private void pauseLists() {
        listsPaused = true;
        var unused =
                loop.schedule(
                        this::resumeLists, UNACKNOWLEDGED_PAUSE_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void resumeLists() {
        if (listsPaused) {
            listsPaused = false;
            wantList();
        }
    }

    private void pace(WorkerAnnouncement target, long now) {
        pacing.decide(runs.served(), runs.fillers(), runs.pressures(), now)
                .forEach((entry, percent) -> pace(target, entry, percent));
        runs.entries().stream()
                .filter(entry -> entry.unconfirmedPercent().isPresent())
                .forEach(entry -> pace(target, entry, entry.unconfirmedPercent().getAsInt()));
    }

    /** An order without an answer is sent again with the next list. */
    private void pace(WorkerAnnouncement target, RunEntry entry, int percent) {
        entry.pace(percent);
        port.pace(target, entry.run(), percent, term)
                .subscribe(
                        outcome -> {
                            boolean done = outcome instanceof WorkerPort.CallOutcome.Done;
                            loop.execute(() -> entry.endPace(percent, done));
                        });
    }
}
