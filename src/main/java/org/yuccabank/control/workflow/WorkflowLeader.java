package org.yuccabank.control.workflow;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import org.yuccabank.control.Proposer;
import org.yuccabank.policy.workflow.FeasibleFirstOrder;
import org.yuccabank.policy.workflow.InterferenceAwareSelector;
import org.yuccabank.policy.workflow.Pressures;
import org.yuccabank.policy.workflow.WorkerCircuitBreaker;
import org.yuccabank.protocol.PeerConnection;
import org.yuccabank.protocol.generated.ActiveRun;
import org.yuccabank.protocol.generated.Assignment;
import org.yuccabank.protocol.generated.CommandResult;
import org.yuccabank.protocol.generated.EndedRun;
import org.yuccabank.protocol.generated.RunAddress;
import org.yuccabank.protocol.generated.RunEnding;
import org.yuccabank.protocol.generated.SchedulingRound;
import org.yuccabank.protocol.generated.StateCommand;
import org.yuccabank.protocol.generated.StepDefinition;
import org.yuccabank.protocol.generated.WorkerDirectives;
import org.yuccabank.protocol.generated.WorkerIdentity;
import org.yuccabank.protocol.generated.WorkerReport;
import org.yuccabank.protocol.generated.WorkflowCommand;
import org.yuccabank.protocol.generated.WorkflowReply;
import org.yuccabank.protocol.generated.WorkflowRequest;
import org.yuccabank.replication.ReplicaMember;
import org.yuccabank.replication.ReplicaService;
import org.yuccabank.state.ReplicatedState;
import org.yuccabank.state.workflow.Workflow;
import org.yuccabank.state.workflow.WorkflowRecords;
import org.yuccabank.state.workflow.WorkflowTask;

/**
 * The leader's part for workflows: accepts requests, follows the workers and assigns tasks.
 *
 * <p>Invariants: a start is ordered only after its assignment is committed; an end is acknowledged
 * to a worker only after it is committed; a run of a silent worker is ended only after every lease
 * that the worker may hold is over. Confined to the thread of the replica.
 */
public final class WorkflowLeader {

    /**
     * A worker whose newest list of runs is older gets no tasks: two report intervals and a bit.
     */
    private static final long USABLE_MILLIS = 1_500;

    /** Agents find a new leader and report within this time, with a margin. */
    private static final long KNOWLEDGE_MILLIS = 3_000;

    /** Final workflows are kept this long for those who ask for their state. */
    private static final long RETENTION_MILLIS = 15 * 60_000;

    /** A forecast of rooms is made anew after this time, about that between two reports. */
    private static final long FORECAST_MILLIS = 300;

    /** Bounds the size of one round in the log. */
    private static final int MAXIMUM_ROUND_ENTRIES = 500;

    private final ReplicaService replica;
    private final ReplicatedState state;
    private final Proposer proposer;
    private final LeaseBound lease;
    private final WorkflowPlanner planner =
            new WorkflowPlanner(new FeasibleFirstOrder(), new InterferenceAwareSelector());
    private final Map<String, WorkerView> workers = new LinkedHashMap<>();
    private final Map<RunAddress, EndedRun> pendingEnds = new LinkedHashMap<>();
    private final WorkflowLog log = new WorkflowLog();
    private final RunWatch watch = new RunWatch();
    private final InterferenceWatch interference = new InterferenceWatch();
    private final WorkflowRequests requests;
    private final MembershipKeeper membership;
    private long term;
    private long ledSinceMillis;
    private boolean roundInProgress;
    private Optional<RoomForecast> forecast = Optional.empty();
    private long forecastAtMillis;

    private WorkflowLeader(
            ReplicaService replica,
            ReplicatedState state,
            Proposer proposer,
            LeaseBound lease,
            int wantedVoters) {
        this.replica = replica;
        this.state = state;
        this.proposer = proposer;
        this.lease = lease;
        membership = new MembershipKeeper(replica, wantedVoters);
        requests = new WorkflowRequests(this, membership);
    }

    /**
     * Creates the part of a replica.
     *
     * @param replica the replica
     * @param state its state machine
     * @param proposer proposes commands
     * @param lease bounds the time for which a worker may run tasks after a report
     * @param wantedVoters replicas that should vote
     * @return the leader's part
     */
    public static WorkflowLeader of(
            ReplicaService replica,
            ReplicatedState state,
            Proposer proposer,
            LeaseBound lease,
            int wantedVoters) {
        Objects.requireNonNull(replica, "replica is null");
        Objects.requireNonNull(state, "state is null");
        return new WorkflowLeader(replica, state, proposer, lease, wantedVoters);
    }

    WorkflowRecords records() {
        return state.records().workflows();
    }

    static long steadyMillis() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }

    /**
     * Forgets what only the former leader knew.
     *
     * @param newTerm the present term
     */
    public void leadershipChanged(long newTerm) {
        term = newTerm;
        ledSinceMillis = steadyMillis();
        workers.clear();
        pendingEnds.clear();
        watch.clear();
        interference.clear();
        forecast = Optional.empty();
        roundInProgress = false;
    }

    /**
     * Registers gauges of the workflows.
     *
     * @param metrics the registry
     */
    public void registerMetrics(MetricRegistry metrics) {
        Gauge<Integer> known = () -> records().workflows().size();
        Gauge<Integer> seen = workers::size;
        metrics.register("workflows", known);
        metrics.register("workers", seen);
    }

    /**
     * Answers a request that only reads, after leadership was confirmed.
     *
     * @param request the request
     * @return the answer, empty if the request changes the state
     */
    public Optional<WorkflowReply> read(WorkflowRequest request) {
        return requests.read(request);
    }

    /**
     * Carries out a request that changes the state.
     *
     * @param request the request
     * @return completes with the answer once the change is durable
     */
    public CompletionStage<WorkflowReply> change(WorkflowRequest request) {
        return requests.change(request);
    }

    List<String> memberAddresses() {
        return replica.status().members().stream().map(ReplicaMember::address).distinct().toList();
    }

    CompletionStage<CommandResult> propose(WorkflowCommand.Builder command) {
        return proposer.propose(StateCommand.newBuilder().setWorkflow(command));
    }

    /** A new leader has heard from all workers that are there after some report intervals. */
    boolean knowsWorkers() {
        return steadyMillis() - ledSinceMillis > KNOWLEDGE_MILLIS;
    }

    LearnedEstimates estimates() {
        return new LearnedEstimates() {
            @Override
            public double runTimeRatio(String queueName) {
                return watch.runTimeRatio(queueName);
            }

            @Override
            public Pressures pressures() {
                return interference.pressures();
            }

            @Override
            public Map<String, Double> bearablePressures(String workerId) {
                return interference.bearablePressures(workerId);
            }
        };
    }

    /**
     * Takes the report of an agent, after leadership was confirmed.
     *
     * @param report the report
     * @param from connection on which directives can be sent
     * @return what the agent should do
     */
    public WorkerDirectives report(WorkerReport report, PeerConnection from) {
        long now = steadyMillis();
        WorkerView view = workers.get(report.getHostId());
        if (view == null) {
            view = new WorkerView(report);
            workers.put(report.getHostId(), view);
        }
        WorkerIdentity before = view.worker();
        WorkerReport valid =
                report.getTerm() == term ? report : report.toBuilder().setListed(false).build();
        if (!view.update(valid, from, now, lease)) {
            return directives(view, report.getSequence()).build();
        }
        if (!before.equals(view.worker())) {
            log.workerReplaced(before, view.worker());
            interference.forget(before.getWorkerId());
        }
        endFormerIncarnations(view.worker());
        if (report.getLeaving()) {
            endAll(view.worker(), RunEnding.RUN_WORKER_LOST, "the worker has left");
        }
        for (ActiveRun active : valid.getActiveList()) {
            records()
                    .openRun(active.getRun())
                    .ifPresent(task -> watch.active(active, task, now, this::isPromisedRoom));
        }
        if (valid.getListed()) {
            interference.report(valid, records(), now);
        }
        valid.getEndedList().forEach(this::noteEnd);
        // A report without news waits for the tick, as a plan looks at every workflow.
        if (!pendingEnds.isEmpty()) {
            wantRound();
        }
        return directives(view, report.getSequence()).build();
    }

    /** A slowed run gives up its worker only for another one that takes it. */
    private boolean isPromisedRoom(WorkflowTask task) {
        long now = steadyMillis();
        if (forecast.isEmpty() || now - forecastAtMillis > FORECAST_MILLIS) {
            forecast = Optional.of(planner.forecast(records(), offers(now), estimates()));
            forecastAtMillis = now;
        }
        return WorkflowPlanner.isPromised(forecast.get(), task, records(), estimates());
    }

    /** A host runs one worker at a time, so the start of one proves the end of those before. */
    private void endFormerIncarnations(WorkerIdentity present) {
        for (WorkerIdentity worker : Set.copyOf(records().workersWithOpenRuns())) {
            if (worker.getHostId().equals(present.getHostId())
                    && worker.getBornMillis() < present.getBornMillis()) {
                endAll(worker, RunEnding.RUN_WORKER_LOST, "a new incarnation has started");
            }
        }
    }

    private void noteEnd(EndedRun ended) {
        Optional<WorkflowTask> task = records().openRun(ended.getRun());
        if (task.isPresent() && pendingEnds.putIfAbsent(ended.getRun(), ended) == null) {
            watch.ended(ended, task.get(), steadyMillis());
        }
    }

    private void endAll(WorkerIdentity worker, RunEnding ending, String reason) {
        for (WorkflowTask task : Set.copyOf(records().openRuns(worker))) {
            EndedRun ended =
                    EndedRun.newBuilder()
                            .setRun(task.run())
                            .setEnding(ending)
                            .setCheckpoint(savedCheckpoint(task))
                            .setReason(reason)
                            .build();
            noteEnd(ended);
        }
    }

    private String savedCheckpoint(WorkflowTask task) {
        return workers.values().stream()
                .map(view -> view.checkpoint(task.run()))
                .filter(saved -> !saved.isEmpty())
                .findFirst()
                .orElse("");
    }

    private WorkerDirectives.Builder directives(WorkerView view, long answeredSequence) {
        WorkerDirectives.Builder directives =
                WorkerDirectives.newBuilder()
                        .setTerm(term)
                        .setWorker(view.worker())
                        .setAnswersSequence(answeredSequence);
        directives.addAllControlAddresses(memberAddresses());
        for (EndedRun ended : view.numberedEnds()) {
            if (records().openRun(ended.getRun()).isPresent()) {
                break;
            }
            directives.setAcknowledgedNumber(ended.getNumber());
        }
        for (EndedRun ended : view.report().getEndedList()) {
            if (records().openRun(ended.getRun()).isEmpty()) {
                directives.addSettled(ended.getRun());
            }
        }
        addOrders(view, directives);
        List<StepDefinition> steps =
                records().openRuns(view.worker()).stream()
                        .map(task -> task.workflow().step(task.address().getStep()))
                        .toList();
        directives.addAllPressures(view.untold(interference.pressures(steps), steadyMillis()));
        return directives;
    }

    private void addOrders(WorkerView view, WorkerDirectives.Builder directives) {
        Set<RunAddress> mentioned = view.mentionedRuns();
        for (WorkflowTask task : records().openRuns(view.worker())) {
            if (isToStop(task, view)) {
                directives.addStops(task.run());
            } else if (view.needsOrder(task.run(), mentioned)) {
                directives.addStarts(WorkflowOrders.start(task));
            }
        }
        for (RunAddress run : view.activeRuns()) {
            if (records().openRun(run).isEmpty()) {
                directives.addStops(run);
            }
        }
    }

    /** A leaving worker keeps only the tasks that lose their work when they are stopped. */
    private boolean isToStop(WorkflowTask task, WorkerView view) {
        if (task.workflow().isFinal() || watch.isToRestart(task.run())) {
            return true;
        }
        boolean lasting = task.workflow().step(task.address().getStep()).getLasting();
        return view.report().getDraining() && lasting;
    }

    void pushStops(Workflow workflow) {
        Set<WorkerIdentity> touched =
                workflow.allTasks().stream()
                        .flatMap(task -> task.worker().stream())
                        .collect(Collectors.toSet());
        pushTo(touched);
    }

    private void pushTo(Set<WorkerIdentity> touched) {
        for (WorkerView view : workers.values()) {
            if (touched.contains(view.worker())) {
                view.push(directives(view, 0).build());
            }
        }
    }

    /** Runs what is due with time. Called regularly. */
    public void tick() {
        if (!replica.isLeader()) {
            return;
        }
        membership.tick();
        long now = steadyMillis();
        for (WorkerView view : workers.values()) {
            if (view.isLeaseOver(now) && !records().openRuns(view.worker()).isEmpty()) {
                log.workerLost(view.worker(), records().openRuns(view.worker()).size());
                endAll(view.worker(), RunEnding.RUN_WORKER_LOST, "the lease is over");
            }
        }
        if (now - ledSinceMillis > lease.longestMillis()) {
            endRunsOfUnknownWorkers();
        }
        wantRound();
    }

    /** After a full lease under this leader, a worker that did not report runs nothing. */
    private void endRunsOfUnknownWorkers() {
        Set<WorkerIdentity> known =
                workers.values().stream().map(WorkerView::worker).collect(Collectors.toSet());
        for (WorkerIdentity worker : Set.copyOf(records().workersWithOpenRuns())) {
            if (!known.contains(worker)) {
                log.workerLost(worker, records().openRuns(worker).size());
                endAll(worker, RunEnding.RUN_WORKER_LOST, "the worker is unknown");
            }
        }
    }

    void wantRound() {
        if (!roundInProgress && replica.isLeader()) {
            runRound();
        }
    }

    private void runRound() {
        long now = steadyMillis();
        List<EndedRun> ended = pendingEnds.values().stream().limit(MAXIMUM_ROUND_ENTRIES).toList();
        long wallMillis = System.currentTimeMillis();
        List<Assignment> planned = planner.plan(records(), offers(now), estimates(), wallMillis);
        List<Assignment> assigned =
                planned.subList(0, Math.min(planned.size(), MAXIMUM_ROUND_ENTRIES));
        List<String> forgotten = forgotten(wallMillis);
        if (ended.isEmpty() && assigned.isEmpty() && forgotten.isEmpty()) {
            return;
        }
        log.round(ended, assigned);
        SchedulingRound round =
                SchedulingRound.newBuilder()
                        .addAllEnded(ended)
                        .addAllAssigned(assigned)
                        .addAllForgotten(forgotten)
                        .build();
        roundInProgress = true;
        long roundTerm = term;
        propose(WorkflowCommand.newBuilder().setRound(round))
                .whenComplete((result, error) -> endRound(round, roundTerm, result));
    }

    List<WorkerOffer> offers(long now) {
        List<WorkerReport> usable =
                workers.values().stream()
                        .filter(view -> view.isUsable(now, USABLE_MILLIS))
                        .map(WorkerView::report)
                        .toList();
        List<String> ids = usable.stream().map(each -> each.getWorker().getWorkerId()).toList();
        return usable.stream()
                .map(
                        report ->
                                new WorkerOffer(
                                        report,
                                        watch.circuitState(
                                                report.getWorker().getWorkerId(), ids, now)))
                .filter(offer -> offer.circuitState() != WorkerCircuitBreaker.State.AVOIDED)
                .toList();
    }

    private List<String> forgotten(long nowMillis) {
        List<String> forgotten = new ArrayList<>();
        for (Workflow workflow : records().workflows()) {
            if (workflow.isFinal() && nowMillis - workflow.endedAtMillis() > RETENTION_MILLIS) {
                forgotten.add(workflow.id());
            }
            if (forgotten.size() >= MAXIMUM_ROUND_ENTRIES) {
                break;
            }
        }
        return forgotten;
    }

    private void endRound(SchedulingRound round, long roundTerm, CommandResult result) {
        if (roundTerm != term) {
            return;
        }
        roundInProgress = false;
        boolean committed = result != null && result.getVerdict() == CommandResult.Verdict.ACCEPTED;
        if (!committed) {
            return;
        }
        Set<WorkerIdentity> touched = new HashSet<>();
        round.getAssignedList().forEach(each -> touched.add(each.getWorker()));
        for (EndedRun ended : round.getEndedList()) {
            pendingEnds.remove(ended.getRun());
            workers.values().forEach(view -> view.forget(ended.getRun()));
        }
        if (!round.getEndedList().isEmpty()) {
            workers.values().stream()
                    .filter(view -> mentions(view, round.getEndedList()))
                    .forEach(view -> touched.add(view.worker()));
        }
        pushTo(touched);
        wantRound();
    }

    private static boolean mentions(WorkerView view, List<EndedRun> ended) {
        Set<RunAddress> mentioned = view.mentionedRuns();
        return ended.stream().anyMatch(each -> mentioned.contains(each.getRun()));
    }
}
