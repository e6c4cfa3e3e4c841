package org.yuccabank.agent.workflow;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.netty.channel.EventLoopGroup;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.BooleanSupplier;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import org.yuccabank.agent.workflow.WorkerApi.Identification;
import org.yuccabank.model.FencingToken;
import org.yuccabank.model.Resources;
import org.yuccabank.protocol.PeerServer;
import org.yuccabank.protocol.PeerTransport;
import org.yuccabank.protocol.generated.ActiveRun;
import org.yuccabank.protocol.generated.EndedRun;
import org.yuccabank.protocol.generated.Envelope;
import org.yuccabank.protocol.generated.Hello;
import org.yuccabank.protocol.generated.RunAddress;
import org.yuccabank.protocol.generated.RunEnding;
import org.yuccabank.protocol.generated.StartRun;
import org.yuccabank.protocol.generated.TaskAddress;
import org.yuccabank.protocol.generated.WorkerDirectives;
import org.yuccabank.protocol.generated.WorkerIdentity;
import org.yuccabank.protocol.generated.WorkerReport;
import reactor.core.publisher.Mono;

/** Tests when an agent sends starts to its worker, with a fake leader and a fake worker. */
public final class WorkflowAgentTest {

    private static final Duration TIMEOUT = Duration.ofSeconds(10);

    private static final RunAddress RUN =
            RunAddress.newBuilder()
                    .setTask(TaskAddress.newBuilder().setWorkflowId("a"))
                    .setAttempt(1)
                    .build();

    private FakeLeader leader;
    private FakeWorker worker;
    private PeerTransport transport;
    private PeerServer server;
    private EventLoopGroup eventLoops;
    private WorkflowAgent agent;

    /** Answers reports; assigns one run and may end it. Thread-safe. */
    private static final class FakeLeader {
        private volatile boolean assigned;
        private volatile boolean startSent;
        private volatile boolean ended;
        private volatile boolean stopsRun;
        private volatile long directivesNumber;
        private volatile WorkerReport latest = WorkerReport.getDefaultInstance();
        private volatile long knownBorn;
        private volatile long token;

        /** Answers an outdated report, which the leader ignores, for the worker that it knows. */
        private Envelope answerFor(WorkerIdentity.Builder known) {
            return Envelope.newBuilder()
                    .setWorkerDirectives(
                            WorkerDirectives.newBuilder()
                                    .setTerm(1)
                                    .setFencingToken(token)
                                    .setWorker(known))
                    .build();
        }

        private Mono<Envelope> reply(Envelope request) {
            WorkerReport report = request.getWorkerReport();
            if (report.getWorker().getBornMillis() < knownBorn) {
                return Mono.just(
                        answerFor(report.getWorker().toBuilder().setBornMillis(knownBorn)));
            }
            latest = report;
            WorkerDirectives.Builder directives =
                    WorkerDirectives.newBuilder()
                            .setTerm(1)
                            .setNumber(directivesNumber)
                            .setFencingToken(token)
                            .setWorker(report.getWorker());
            if (stopsRun) {
                directives.addStops(RUN);
            }
            if (ended || report.getLeaving()) {
                report.getActiveList().forEach(run -> directives.addStops(run.getRun()));
            } else if (assigned) {
                directives.addStarts(StartRun.newBuilder().setRun(RUN));
                startSent = true;
            }
            return Mono.just(Envelope.newBuilder().setWorkerDirectives(directives).build());
        }
    }

    /** Records calls; runs only what the test lists. Thread-safe. */
    private static final class FakeWorker implements WorkerApi {
        private static final CallOutcome UNANSWERED = new CallOutcome.Unanswered("no answer");

        private final Queue<CallOutcome> startOutcomes = new ConcurrentLinkedQueue<>();
        private volatile CallOutcome stopOutcome = UNANSWERED;
        private volatile List<ActiveRun> listed = List.of();
        private volatile List<EndedRun> endedRuns = List.of();
        private final List<RunAddress> starts = new CopyOnWriteArrayList<>();
        private final Set<Long> startedIncarnations = ConcurrentHashMap.newKeySet();
        private final List<RunAddress> stops = new CopyOnWriteArrayList<>();
        private volatile boolean answersLists = true;
        private volatile long highestToken;
        private volatile boolean refuses;
        private volatile boolean identified = true;
        private volatile long born;
        private final List<Long> listCalls = new CopyOnWriteArrayList<>();

        private volatile Identification identification = Identification.CONFIRMED;

        @Override
        public Mono<Identification> identify(WorkerAnnouncement target, long token) {
            if (!identified) {
                return Mono.just(Identification.UNKNOWN);
            }
            if (born == 0) {
                return Mono.just(identification);
            }
            if (token < highestToken) {
                return Mono.just(Identification.FENCED);
            }
            return Mono.just(
                    target.identity().getBornMillis() == born
                            ? Identification.CONFIRMED
                            : Identification.DENIED);
        }

        private static long clockMillis() {
            return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
        }

        @Override
        public Mono<CallOutcome> start(
                WorkerAnnouncement target, StartRun startRequest, FencedLease fencedLease) {
            starts.add(startRequest.getRun());
            startedIncarnations.add(target.identity().getBornMillis());
            return Mono.just(Optional.ofNullable(startOutcomes.poll()).orElse(UNANSWERED));
        }

        @Override
        public Mono<CallOutcome> stop(WorkerAnnouncement target, RunAddress run, long token) {
            stops.add(run);
            return Mono.just(stopOutcome);
        }

        @Override
        public Mono<CallOutcome> setSpeed(
                WorkerAnnouncement target, RunAddress run, int percent, long token) {
            return Mono.just(UNANSWERED);
        }

        @Override
        public Mono<ListOutcome> renew(
                WorkerAnnouncement target, FencedLease lease, long acknowledged) {
            return list(target, lease.token(), 0);
        }

        @Override
        public Mono<ListOutcome> list(WorkerAnnouncement target, long token, long waitMillis) {
            if (refuses) {
                listCalls.add(clockMillis());
                return Mono.just(new ListOutcome.NotListening("refused"));
            }
            if (token < highestToken) {
                return Mono.just(new ListOutcome.Fenced());
            }
            if (born > 0 && target.identity().getBornMillis() != born) {
                return Mono.delay(Duration.ofMillis(5))
                        .thenReturn(new ListOutcome.OtherIncarnation(born));
            }
            ListOutcome outcome =
                    answersLists
                            ? new ListOutcome.Listing(clockMillis(), listed, endedRuns, true)
                            : new ListOutcome.Unavailable("no answer");
            return Mono.delay(Duration.ofMillis(50)).thenReturn(outcome);
        }
    }

    @BeforeMethod
    public void start() {
        leader = new FakeLeader();
        worker = new FakeWorker();
        eventLoops = PeerTransport.eventLoopGroup("agent", 1);
        transport = PeerTransport.startOn(Hello.newBuilder().setProcessId("p").build(), eventLoops);
        server =
                PeerServer.start(
                        transport,
                        new InetSocketAddress("127.0.0.1", 0),
                        (from, request) -> leader.reply(request));
        agent = startAgent();
        await(() -> leader.latest.getListed());
    }

    private static WorkerAnnouncement announcement(String workerId, long bornMillis) {
        return announcement(workerId, bornMillis, 1, false);
    }

    private static WorkerAnnouncement announcement(
            String workerId, long bornMillis, long sequence, boolean draining) {
        return new WorkerAnnouncement(
                WorkerIdentity.newBuilder().setWorkerId(workerId).setBornMillis(bornMillis).build(),
                "service",
                new InetSocketAddress("127.0.0.1", 1),
                "zone",
                "rack",
                Set.of(),
                Resources.of(1_000, 1_000, 0),
                draining,
                FakeWorker.clockMillis(),
                sequence);
    }

    private WorkflowAgent startAgent() {
        WorkflowAgent started =
                WorkflowAgent.start(
                        new WorkflowAgentConfiguration(
                                "agent",
                                "host",
                                "zone",
                                List.of(server.address()),
                                new LeaseDurations(9_000, 8_000, 0),
                                TIMEOUT.toMillis()),
                        worker,
                        eventLoops);
        started.announce(announcement("w", 1)).block(TIMEOUT);
        return started;
    }

    @AfterMethod(alwaysRun = true)
    public void stop() {
        agent.stop();
        server.stop();
        transport.stop();
        PeerTransport.shutDown(eventLoops);
    }

    private static void await(BooleanSupplier condition) {
        long end = System.nanoTime() + TIMEOUT.toNanos();
        while (!condition.getAsBoolean() && System.nanoTime() < end) {
            try {
                Thread.sleep(10);
            } catch (InterruptedException exception) {
                throw new IllegalStateException(exception);
            }
        }
        assertTrue(condition.getAsBoolean());
    }

    /** Assigns a run while the worker does not answer, so that its start waits for a lease. */
    private void assignWhileWorkerIsUnresponsive() {
        worker.answersLists = false;
        await(() -> leader.latest.hasLeaseLeftMillis());
        leader.assigned = true;
        await(() -> leader.startSent);
        long sequence = leader.latest.getSequence();
        await(() -> leader.latest.getSequence() > sequence);
        assertEquals(worker.starts, List.of(), "no lease can be sent");
    }

    /**
     * Guards against a worker that refuses all calls of a restarted agent, whose former process had
     * raised the fencing token.
     */
    @Test
    public void shouldRaiseFencingTokenUpToThatOfFormerProcess() {
        agent.stop();
        worker.highestToken = 60;
        leader.latest = WorkerReport.getDefaultInstance();
        agent = startAgent();
        await(() -> leader.latest.getListed());
    }

    /**
     * Guards against a start that is repeated at the next incarnation, before it has announced
     * itself, because the former one has not answered it.
     */
    @Test
    public void shouldNotRepeatStartBeforeWorkerHasConfirmedItsIncarnation() {
        worker.identification = Identification.DENIED;
        leader.assigned = true;
        await(() -> worker.starts.size() == 1);
        long sequence = leader.latest.getSequence();
        await(() -> leader.latest.getSequence() > sequence + 1);
        assertEquals(worker.starts.size(), 1);
        worker.identification = Identification.CONFIRMED;
        await(() -> worker.starts.size() > 1);
    }

    /** Restarts the agent, which hears a delayed announcement of the former incarnation first. */
    private void restartWithDelayedAnnouncement(long leaderToken) throws InterruptedException {
        agent.stop();
        leader.token = leaderToken;
        worker.born = 2;
        worker.highestToken = FencingToken.of(1, 0);
        leader.latest = WorkerReport.getDefaultInstance();
        agent = startAgent();
        for (int sequence = 10; sequence < 40 && !isIncarnationReported(2); sequence++) {
            agent.announce(announcement("w", 2, sequence, false)).block(TIMEOUT);
            Thread.sleep(100);
        }
        assertTrue(isIncarnationReported(2));
    }

    private boolean isIncarnationReported(long born) {
        return leader.latest.getWorker().getBornMillis() == born;
    }

    /**
     * Guards against a worker that stays locked out, because a restarted agent has taken a delayed
     * announcement of its former incarnation and ignores all answers of the leader.
     */
    @Test
    public void shouldTakeTokenFromDirectivesForOtherIncarnation() throws InterruptedException {
        leader.knownBorn = 2;
        restartWithDelayedAnnouncement(FencingToken.of(1, 0));
    }

    /**
     * Guards against runs that a former process of the agent has started and that are stopped,
     * because the restarted one has taken a delayed announcement of the former incarnation.
     */
    @Test
    public void shouldNotStopRunsAfterDelayedAnnouncement() throws InterruptedException {
        worker.listed = List.of(ActiveRun.newBuilder().setRun(RUN).setPercent(1).build());
        restartWithDelayedAnnouncement(FencingToken.of(2, 0));
        await(this::isReportedActive);
        long sequence = leader.latest.getSequence();
        await(() -> leader.latest.getSequence() > sequence + 1);
        assertEquals(worker.stops, List.of());
    }

    /**
     * Guards against a worker that joins late, because the question for its identity is not
     * answered although it has answered a list.
     */
    @Test
    public void shouldTakeListOfNextIncarnationForItsConfirmation() {
        worker.born = 2;
        worker.identified = false;
        await(() -> leader.latest.hasCrash());
        agent.announce(announcement("w", 2)).block(TIMEOUT);
        await(() -> isIncarnationReported(2));
    }

    /** Guards against retries that multiply, as each one opens a connection. */
    @Test
    public void shouldKeepOneRetryOfListsAtATime() throws InterruptedException {
        worker.refuses = true;
        Thread.sleep(4_000);
        worker.listCalls.clear();
        Thread.sleep(2_000);
        assertTrue(worker.listCalls.size() <= 16, worker.listCalls.size() + " in 2 s");
    }

    private boolean isReportedActive() {
        return leader.latest.getActiveList().stream().map(ActiveRun::getRun).anyMatch(RUN::equals);
    }

    /**
     * Guards against a second run of a task whose run the leader ended while the agent was frozen:
     * the answer that grants the lease again also stops the run (35851a7a).
     */
    @Test
    public void shouldNotSendWaitingStartOfRunThatTheLeaderHasEnded() {
        assignWhileWorkerIsUnresponsive();
        leader.ended = true;
        worker.answersLists = true;
        await(this::isReportedActive);
        await(() -> worker.stops.contains(RUN));
        assertEquals(worker.starts, List.of());
    }

    /**
     * Guards against a start on a worker that drains, because the start had to wait while the
     * worker did not answer (LateDrainStart of the second review).
     */
    @Test
    public void shouldNotSendWaitingStartToDrainingWorker() {
        assignWhileWorkerIsUnresponsive();
        agent.announce(announcement("w", 1, 2, true)).block(TIMEOUT);
        worker.answersLists = true;
        await(
                () ->
                        leader.latest.getEndedList().stream()
                                .anyMatch(
                                        ended ->
                                                ended.getEnding()
                                                        == RunEnding.RUN_WITHOUT_CAPACITY));
        assertEquals(worker.starts, List.of());
    }

    private boolean isReportedAsNotStarted() {
        return leader.latest.getEndedList().stream()
                .anyMatch(
                        ended ->
                                ended.getRun().equals(RUN)
                                        && ended.getEnding() == RunEnding.RUN_NOT_STARTED);
    }

    private static void refuseStartsAfter(FakeWorker worker, WorkerApi.CallOutcome... first) {
        worker.startOutcomes.addAll(List.of(first));
        worker.startOutcomes.add(new WorkerApi.CallOutcome.Refused(WorkerApi.Refusal.UNHEALTHY));
    }

    /**
     * Guards against a start that was not answered, is reported as not started because its
     * repetition was refused, and is carried out later beside the next run of its task.
     */
    @Test
    public void shouldStopRunWhoseRepeatedStartIsRefused() {
        await(() -> leader.latest.getSequence() > 2);
        refuseStartsAfter(worker, FakeWorker.UNANSWERED);
        leader.assigned = true;
        await(() -> worker.stops.contains(RUN));
        assertFalse(isReportedAsNotStarted(), "the first start may be carried out yet");
        worker.stopOutcome = new WorkerApi.CallOutcome.Done(OptionalLong.empty());
        await(this::isReportedAsNotStarted);
    }

    /** Guards against a run that is reported as not started although it was started late. */
    @Test
    public void shouldReportLateStartAsActive() {
        await(() -> leader.latest.getSequence() > 2);
        refuseStartsAfter(worker, FakeWorker.UNANSWERED);
        leader.assigned = true;
        await(() -> worker.stops.contains(RUN));
        worker.listed = List.of(ActiveRun.newBuilder().setRun(RUN).setPercent(1).build());
        worker.stopOutcome = new WorkerApi.CallOutcome.Done(OptionalLong.empty());
        await(() -> leader.latest.getActiveList().stream().anyMatch(run -> run.getPercent() == 1));
        long sequence = leader.latest.getSequence();
        await(() -> leader.latest.getSequence() > sequence + 1);
        assertFalse(isReportedAsNotStarted(), "the worker lists the run");
    }

    /** Guards against a refused start that delays the next run of its task by a stop. */
    @Test
    public void shouldReportRefusalOfOnlyStartAtOnce() {
        await(() -> leader.latest.getSequence() > 2);
        refuseStartsAfter(worker);
        leader.assigned = true;
        await(this::isReportedAsNotStarted);
        assertEquals(worker.stops, List.of());
    }

    /**
     * Guards against a start of a previous agent process that is carried out later, although its
     * repetition by the next process was refused.
     */
    @Test
    public void shouldStopRefusedRunThatPreviousProcessMayHaveStarted() {
        agent.stop();
        leader.assigned = true;
        refuseStartsAfter(worker);
        worker.stopOutcome = new WorkerApi.CallOutcome.Done(OptionalLong.empty());
        agent = startAgent();
        await(this::isReportedAsNotStarted);
        assertEquals(worker.stops, List.of(RUN));
    }

    /** Guards against a worker that is replaced by one that another writer has announced. */
    @Test
    public void shouldRefuseAnnouncementThatWorkerDenies() {
        for (Identification denied :
                List.of(Identification.DENIED, Identification.UNKNOWN, Identification.FENCED)) {
            worker.identification = denied;
            assertEquals(agent.announce(announcement("other", 2)).block(TIMEOUT), Boolean.FALSE);
        }
        long sequence = leader.latest.getSequence();
        await(() -> leader.latest.getSequence() > sequence + 1);
        assertEquals(leader.latest.getWorker().getWorkerId(), "w");
        worker.identification = Identification.CONFIRMED;
        assertEquals(agent.announce(announcement("other", 2)).block(TIMEOUT), Boolean.TRUE);
        await(() -> leader.latest.getWorker().getWorkerId().equals("other"));
    }

    /** Guards against a restarted agent that never accepts its worker before it knows a leader. */
    @Test
    public void shouldAcceptFirstAnnouncementOfWorkerThatIsFenced() {
        agent.stop();
        worker.identification = Identification.FENCED;
        long sequence = leader.latest.getSequence();
        agent = startAgent();
        await(() -> leader.latest.getListed() && leader.latest.getSequence() != sequence);
    }

    /** Guards against tasks that are started again while the worker that leaves still runs them. */
    @Test
    public void shouldConfirmShutdownOnlyAfterRunsHaveEnded() {
        worker.startOutcomes.add(new WorkerApi.CallOutcome.Done(OptionalLong.empty()));
        worker.stopOutcome = new WorkerApi.CallOutcome.Done(OptionalLong.empty());
        worker.listed = List.of(ActiveRun.newBuilder().setRun(RUN).build());
        await(this::isReportedActive);
        agent.announce(announcement("w", 1, 2, true)).block(TIMEOUT);
        AtomicBoolean confirmed = new AtomicBoolean();
        var unused = agent.leave("w").subscribe(confirmed::set);
        await(() -> worker.stops.contains(RUN));
        long sequence = leader.latest.getSequence();
        await(() -> leader.latest.getSequence() > sequence + 1);
        assertFalse(confirmed.get(), "the run goes on");
        worker.endedRuns =
                List.of(
                        EndedRun.newBuilder()
                                .setRun(RUN)
                                .setNumber(1)
                                .setEnding(RunEnding.RUN_STOPPED)
                                .build());
        worker.listed = List.of();
        await(confirmed::get);
        assertTrue(leader.latest.getEndedCount() > 0, "the leader knows the end");
    }

    /**
     * Guards against directives that arrive late on another connection and start a run that the
     * leader has ended since.
     */
    @Test
    public void shouldIgnoreDirectivesThatNewerOnesHaveOvertaken() {
        leader.directivesNumber = 10;
        await(() -> leader.latest.getKnownNumber() == 10);
        leader.directivesNumber = 9;
        leader.assigned = true;
        await(() -> leader.startSent);
        long sequence = leader.latest.getSequence();
        await(() -> leader.latest.getSequence() > sequence + 1);
        assertEquals(worker.starts, List.of());
        leader.directivesNumber = 11;
        await(() -> worker.starts.contains(RUN));
    }

    /**
     * Guards against a start that was refused as late, is repeated after its worker has crashed,
     * and is carried out by the next incarnation under the same identifier.
     */
    @Test
    public void shouldNotRepeatStartAtNextIncarnation() {
        await(() -> leader.latest.getSequence() > 2);
        worker.startOutcomes.addAll(
                Collections.nCopies(
                        100, new WorkerApi.CallOutcome.Refused(WorkerApi.Refusal.LATE)));
        leader.assigned = true;
        await(() -> worker.starts.contains(RUN));
        leader.assigned = false;
        agent.announce(announcement("w", 2)).block(TIMEOUT);
        await(() -> leader.latest.getListed() && leader.latest.getWorker().getBornMillis() == 2);
        long sequence = leader.latest.getSequence();
        await(() -> leader.latest.getSequence() > sequence + 1);
        assertFalse(worker.startedIncarnations.contains(2L));
    }

    /**
     * Guards against a run of the previous incarnation that the next one under the same identifier
     * carries out late, after its agent has reported that it does not run.
     */
    @Test
    public void shouldGiveUpRunOfPreviousIncarnationOnlyAfterConfirmedStop() {
        leader.stopsRun = true;
        agent.announce(announcement("w", 2)).block(TIMEOUT);
        await(() -> leader.latest.getListed() && leader.latest.getWorker().getBornMillis() == 2);
        await(() -> worker.stops.contains(RUN));
        assertFalse(isReportedAsNotStarted(), "the stop is not confirmed");
        worker.stopOutcome = new WorkerApi.CallOutcome.Done(OptionalLong.empty());
        await(this::isReportedAsNotStarted);
    }

    /** Guards against tasks that are stopped because another writer deregisters their worker. */
    @Test
    public void shouldRefuseShutdownOfWorkerThatDoesNotDrain() {
        assertEquals(agent.leave("w").block(TIMEOUT), Boolean.FALSE);
        long sequence = leader.latest.getSequence();
        await(() -> leader.latest.getSequence() > sequence + 1);
        assertFalse(leader.latest.getLeaving());
    }

    /** Guards against a start that is never sent because it had to wait. */
    @Test
    public void shouldSendWaitingStartOnceTheLeaderHasConfirmedIt() {
        assignWhileWorkerIsUnresponsive();
        worker.answersLists = true;
        await(() -> worker.starts.contains(RUN));
        assertTrue(isReportedActive(), "the start preceded the confirmation");
    }
}
