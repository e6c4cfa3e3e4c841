package org.yuccabank.control.workflow;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import java.util.Comparator;
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
import java.util.stream.Stream;
import org.yuccabank.control.Proposer;
import org.yuccabank.policy.workflow.FeasibleFirstOrder;
import org.yuccabank.policy.workflow.InterferenceAwareSelector;
import org.yuccabank.policy.workflow.Pressures;
import org.yuccabank.policy.workflow.ServingRecovery;
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
 * Performs the functions of the leader for workflows: handles requests, tracks the workers and
 * assigns tasks.
 *
 * <p>Invariants: a start directive is sent only after its assignment is committed; an end is
 * acknowledged to a worker only after it is committed; a run of an unresponsive worker is ended
 * only after every lease that the worker may hold has expired; a task is not assigned in the round
 * that completes it by a late end. Confined to the replica thread.
 */
public final class WorkflowLeader {

    /**
     * A worker whose latest list of runs is older gets no tasks. The limit is slightly more than
     * two report intervals.
     */
    private static final long MAXIMUM_LIST_AGE_MILLIS = 1_500;

    /** Time within which agents find a new leader and report to it, including a margin. */
    private static final long WORKER_DISCOVERY_MILLIS = 3_000;

    /** Age after which the migration capacity is computed again, about one report interval. */
    private static final long MAXIMUM_MIGRATION_CAPACITY_AGE_MILLIS = 300;

    /** Limits the size of one round in the log. */
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
    private final RunMonitor runMonitor = new RunMonitor();
    private final CrashCounters crashes = new CrashCounters();
    private final InterferenceMonitor interferenceMonitor = new InterferenceMonitor();
    private final LearnedStateKeeper learnedState =
            new LearnedStateKeeper(interferenceMonitor.pressures(), runMonitor.runTimes());
    private final WorkflowRequestHandler requests;
    private final MembershipManager membership;
    private long term;
    private long leaderSinceMillis;
    private long directivesNumber;
    private final ServingRecovery servingRecovery = new ServingRecovery();
    private boolean bestEffortHeld;
    private boolean roundInProgress;
    private Optional<MigrationCapacity> migrationCapacity = Optional.empty();
    private long migrationCapacityAtMillis;

    private WorkflowLeader(
            ReplicaService replica,
            ReplicatedState state,
            Proposer proposer,
            LeaseBound lease,
            int desiredVoters) {
        this.replica = replica;
        this.state = state;
        this.proposer = proposer;
        this.lease = lease;
        membership = new MembershipManager(replica, desiredVoters);
        requests = new WorkflowRequestHandler(this, membership, log);
    }

    /**
     * Creates the workflow leader of a replica.
     *
     * @param replica the replica
     * @param state its state machine
     * @param proposer proposer of commands
     * @param lease bounds the time for which a worker may run tasks after a report
     * @param desiredVoters desired number of voters
     * @return the workflow leader
     */
    public static WorkflowLeader of(
            ReplicaService replica,
            ReplicatedState state,
            Proposer proposer,
            LeaseBound lease,
            int desiredVoters) {
        Objects.requireNonNull(replica, "replica is null");
        Objects.requireNonNull(state, "state is null");
        return new WorkflowLeader(replica, state, proposer, lease, desiredVoters);
    }

    WorkflowRecords records() {
        return state.records().workflows();
    }

    /** Returns the view of an incarnation that is the latest to report from its host. */
    Optional<WorkerView> view(WorkerIdentity worker) {
        return Optional.ofNullable(workers.get(worker.getHostId()))
                .filter(view -> view.worker().equals(worker));
    }

    static long monotonicMillis() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }

    /**
     * Clears the state that is not replicated and belongs to a former leader.
     *
     * @param newTerm the current term
     */
    public void leadershipChanged(long newTerm) {
        term = newTerm;
        log.leadershipChanged(newTerm);
        leaderSinceMillis = monotonicMillis();
        workers.clear();
        pendingEnds.clear();
        runMonitor.clear();
        interferenceMonitor.clear();
        migrationCapacity = Optional.empty();
        roundInProgress = false;
    }

    /**
     * Registers the gauges of workflows and workers.
     *
     * @param metrics the registry
     */
    public void registerMetrics(MetricRegistry metrics) {
        Gauge<Integer> workflowCount = () -> records().workflows().size();
        Gauge<Integer> workerCount = workers::size;
        metrics.register("workflows", workflowCount);
        metrics.register("workers", workerCount);
        crashes.registerMetrics(metrics);
        log.registerMetrics(metrics);
    }

    /**
     * Answers a read-only request. The caller must have confirmed leadership.
     *
     * @param request the request
     * @return the reply, empty if the request changes the state
     */
    public Optional<WorkflowReply> read(WorkflowRequest request) {
        return requests.read(request);
    }

    /**
     * Executes a request that changes the state.
     *
     * @param request the request
     * @return a stage that completes with the reply once the change is durable
     */
    public CompletionStage<WorkflowReply> change(WorkflowRequest request) {
        return requests.change(request);
    }

    /**
     * Returns the number of open runs, which a new leader takes over.
     *
     * @return the number of runs
     */
    public int openRuns() {
        return records().workersWithOpenRuns().stream()
                .mapToInt(worker -> records().openRuns(worker).size())
                .sum();
    }

    /**
     * Returns the number of workers with open runs.
     *
     * @return the number of workers
     */
    public int workersWithOpenRuns() {
        return records().workersWithOpenRuns().size();
    }

    /** Returns the addresses of the members, first those of the voters, one of which leads. */
    List<String> memberAddresses() {
        return replica.status().members().stream()
                .sorted(Comparator.comparing((ReplicaMember member) -> !member.voter()))
                .map(ReplicaMember::address)
                .distinct()
                .toList();
    }

    CompletionStage<CommandResult> propose(WorkflowCommand.Builder command) {
        return proposer.propose(StateCommand.newBuilder().setWorkflow(command));
    }

    /**
     * Returns whether this leader has led long enough for all available workers to have reported to
     * it.
     */
    boolean hasDiscoveredWorkers() {
        return monotonicMillis() - leaderSinceMillis > WORKER_DISCOVERY_MILLIS;
    }

    LearnedEstimates estimates() {
        return new LearnedEstimates() {
            @Override
            public double runMillis(String queueName, String stepKey, long declaredMillis) {
                return runMonitor.runMillis(queueName, stepKey, declaredMillis);
            }

            @Override
            public Pressures pressures() {
                return interferenceMonitor.pressures();
            }

            @Override
            public Map<String, Double> pressureLimits(String workerId) {
                return interferenceMonitor.pressureLimits(workerId);
            }
        };
    }

    /**
     * Processes the report of an agent. The caller must have confirmed leadership.
     *
     * @param report the report
     * @param connection connection on which directives can be sent
     * @return the directives for the agent
     */
    public WorkerDirectives report(WorkerReport report, PeerConnection connection) {
        long nowMillis = monotonicMillis();
        WorkerView view = workers.get(report.getHostId());
        if (view == null) {
            view = new WorkerView(report, term);
            workers.put(report.getHostId(), view);
        }
        WorkerIdentity previous = view.worker();
        WorkerReport valid =
                report.getTerm() == term ? report : report.toBuilder().setListed(false).build();
        if (!view.update(valid, connection, nowMillis, lease)) {
            return directives(view, report.getSequence()).build();
        }
        if (!previous.equals(view.worker())) {
            log.workerReplaced(previous, view.worker());
            interferenceMonitor.remove(previous.getWorkerId());
        }
        WorkerIdentity current = view.worker();
        log.reported(valid, records(), nowMillis);
        for (ActiveRun active : valid.getActiveList()) {
            records()
                    .openRun(active.getRun())
                    .filter(task -> task.worker().equals(Optional.of(current)))
                    .ifPresent(
                            task ->
                                    runMonitor.updateProgress(
                                            active, task, nowMillis, this::tryReserveElsewhere));
        }
        if (valid.getListed()) {
            interferenceMonitor.update(valid, records(), nowMillis);
        }
        crashes.recordReport(valid, records(), nowMillis);
        view.endsToRecord(records()).forEach(this::enqueueEnd);
        endEarlierIncarnations(view);
        // Planning examines every workflow, so a report without ends waits for the tick.
        if (!pendingEnds.isEmpty() || !ReportedEnds.late(valid, records()).isEmpty()) {
            startRoundIfIdle();
        }
        return directives(view, report.getSequence()).build();
    }

    /**
     * Reserves capacity on another worker for a throttled run. If there is none, the run stays on
     * its worker.
     */
    private boolean tryReserveElsewhere(WorkflowTask task) {
        long nowMillis = monotonicMillis();
        if (migrationCapacity.isEmpty()
                || nowMillis - migrationCapacityAtMillis > MAXIMUM_MIGRATION_CAPACITY_AGE_MILLIS) {
            migrationCapacity =
                    Optional.of(
                            planner.migrationCapacity(
                                    records(), availableWorkers(nowMillis), estimates()));
            migrationCapacityAtMillis = nowMillis;
        }
        return WorkflowPlanner.tryReserveMigration(
                migrationCapacity.get(), task, records(), estimates());
    }

    /** Ends the runs of earlier incarnations that the current one does not run. */
    private void endEarlierIncarnations(WorkerView view) {
        Set<WorkerIdentity> earlier = EarlierIncarnations.of(view.worker(), records());
        view.setEarlierIncarnations(earlier);
        for (WorkerIdentity worker : earlier) {
            endRuns(
                    EarlierIncarnations.endedRuns(worker, view, records()),
                    view.crashOf(worker, monotonicMillis()),
                    "a new incarnation has started");
        }
    }

    private void enqueueEnd(EndedRun ended) {
        Optional<WorkflowTask> task = records().openRun(ended.getRun());
        if (task.isEmpty() || pendingEnds.containsKey(ended.getRun())) {
            return;
        }
        EndedRun recorded =
                ended.toBuilder()
                        .setStable(ended.getStable() || runMonitor.isCleared(ended.getRun()))
                        .setOncePerGangRun(ended.getEnding() == RunEnding.RUN_FAILED)
                        .build();
        pendingEnds.put(ended.getRun(), recorded);
        runMonitor.recordEnd(recorded, task.get(), monotonicMillis());
    }

    private void endRuns(
            WorkerIdentity worker, Optional<WorkerView.ReportedCrash> crash, String reason) {
        endRuns(Set.copyOf(records().openRuns(worker)), crash, reason);
    }

    private void endRuns(
            Set<WorkflowTask> runs, Optional<WorkerView.ReportedCrash> crash, String reason) {
        boolean ended = runs.stream().allMatch(task -> pendingEnds.containsKey(task.run()));
        if (crash.isPresent() && !ended) {
            crashes.recordCrash(crash.get(), runs.size());
        }
        List<EndedRun> ends =
                CrashSuspects.endsOf(runs, crash, crashes.history(), reason, this::savedCheckpoint);
        crashes.decided(ends, crash, monotonicMillis()).forEach(this::enqueueEnd);
    }

    private String savedCheckpoint(RunAddress run) {
        return workers.values().stream()
                .map(view -> view.checkpoint(run))
                .filter(saved -> !saved.isEmpty())
                .findFirst()
                .orElse("");
    }

    private WorkerDirectives.Builder directives(WorkerView view, long answeredSequence) {
        view.recordSent(++directivesNumber);
        WorkerDirectives.Builder directives =
                WorkerDirectives.newBuilder()
                        .setTerm(term)
                        .setNumber(directivesNumber)
                        .setFencingToken(view.fencingToken())
                        .setWorker(view.worker())
                        .setAnswersSequence(answeredSequence);
        directives.addAllControlAddresses(memberAddresses());
        for (EndedRun ended : view.numberedEnds()) {
            if (records().openRun(ended.getRun()).isPresent()
                    || ReportedEnds.isLate(ended, view.worker(), records())) {
                break;
            }
            directives.setAcknowledgedNumber(ended.getNumber());
        }
        for (EndedRun ended : view.report().getEndedList()) {
            if (records().openRun(ended.getRun()).isEmpty()) {
                directives.addSettled(ended.getRun());
            }
        }
        RunDirectives.addTo(
                directives, view, records(), pendingEnds, task -> shouldStop(task, view));
        List<StepDefinition> steps =
                records().openRuns(view.worker()).stream()
                        .map(task -> task.workflow().step(task.address().getStep()))
                        .toList();
        directives.addAllPressures(
                view.takeUnsentPressures(interferenceMonitor.pressures(steps), monotonicMillis()));
        return directives;
    }

    /**
     * Returns whether a run should be stopped. A draining worker keeps only the tasks that would
     * lose work when stopped; one that leaves keeps none, and its runs end as it reports their
     * ends, as it runs them until then.
     */
    private boolean shouldStop(WorkflowTask task, WorkerView view) {
        if (task.workflow().isFinal()
                || runMonitor.shouldRestart(task.run())
                || view.report().getLeaving()) {
            return true;
        }
        boolean lasting = task.workflow().step(task.address().getStep()).getLasting();
        return view.report().getDraining() && lasting;
    }

    void sendStops(Workflow workflow) {
        Set<WorkerIdentity> affected =
                workflow.allTasks().stream()
                        .flatMap(task -> task.worker().stream())
                        .collect(Collectors.toSet());
        sendDirectives(affected);
    }

    private void sendDirectives(Set<WorkerIdentity> affected) {
        for (WorkerView view : workers.values()) {
            if (affected.contains(view.worker())) {
                view.send(directives(view, 0).build());
            }
        }
    }

    /** Runs the periodic tasks of the leader. */
    public void tick() {
        if (!replica.isLeader()) {
            return;
        }
        membership.tick();
        long nowMillis = monotonicMillis();
        learnedState.restore(records().learned(), term);
        learnedState
                .dueRecord(term, nowMillis)
                .ifPresent(
                        state -> {
                            var unused = propose(WorkflowCommand.newBuilder().setLearned(state));
                        });
        for (WorkerView view : workers.values()) {
            if (view.isLeaseExpired(nowMillis) && !records().openRuns(view.worker()).isEmpty()) {
                log.workerLost(view.worker(), records().openRuns(view.worker()).size(), nowMillis);
                endRuns(view.worker(), view.crashOf(view.worker(), nowMillis), "the lease is over");
            }
            if (view.isEarlierLeaseExpired(nowMillis, lease)) {
                for (WorkerIdentity earlier : view.earlierIncarnations()) {
                    endRuns(earlier, view.crashOf(earlier, nowMillis), "the lease is over");
                }
            }
        }
        if (nowMillis - leaderSinceMillis > lease.maximumMillis()) {
            endRunsOfUnknownWorkers();
        }
        startRoundIfIdle();
    }

    /**
     * Ends the runs of workers that have not reported to this leader. Called only after a full
     * lease under this leader, when such a worker no longer runs any task.
     */
    private void endRunsOfUnknownWorkers() {
        Set<WorkerIdentity> known =
                workers.values().stream().map(WorkerView::worker).collect(Collectors.toSet());
        workers.values().forEach(view -> known.addAll(view.earlierIncarnations()));
        for (WorkerIdentity worker : Set.copyOf(records().workersWithOpenRuns())) {
            if (!known.contains(worker)) {
                log.workerLost(worker, records().openRuns(worker).size(), monotonicMillis());
                endRuns(worker, Optional.empty(), "the worker is unknown");
            }
        }
    }

    void startRoundIfIdle() {
        if (!roundInProgress && replica.isLeader()) {
            startRound();
        }
    }

    private void startRound() {
        long nowMillis = monotonicMillis();
        List<EndedRun> late = lateEnds();
        List<EndedRun> ended =
                Stream.concat(late.stream(), pendingEnds.values().stream())
                        .limit(MAXIMUM_ROUND_ENTRIES)
                        .toList();
        long wallMillis = System.currentTimeMillis();
        // The tasks that these ends complete still wait, so the next round assigns.
        List<Assignment> assigned = late.isEmpty() ? plan(nowMillis, wallMillis) : List.of();
        List<String> expired =
                WorkflowRetention.expired(records(), wallMillis, MAXIMUM_ROUND_ENTRIES);
        if (ended.isEmpty() && assigned.isEmpty() && expired.isEmpty()) {
            return;
        }
        log.round(ended, assigned, records(), nowMillis);
        SchedulingRound round =
                SchedulingRound.newBuilder()
                        .addAllEnded(ended)
                        .addAllAssigned(assigned)
                        .addAllForgotten(expired)
                        .build();
        roundInProgress = true;
        long roundTerm = term;
        propose(WorkflowCommand.newBuilder().setRound(round))
                .whenComplete((result, error) -> finishRound(round, roundTerm, result));
    }

    private List<Assignment> plan(long nowMillis, long wallMillis) {
        List<AvailableWorker> available = availableWorkers(nowMillis);
        List<Assignment> planned =
                planner.plan(
                        records(),
                        available,
                        estimates(),
                        shouldHoldBestEffort(available, nowMillis),
                        wallMillis);
        return RoundLimit.firstRound(planned, MAXIMUM_ROUND_ENTRIES, records());
    }

    private List<EndedRun> lateEnds() {
        return workers.values().stream()
                .flatMap(view -> ReportedEnds.late(view.report(), records()).stream())
                .toList();
    }

    private boolean shouldHoldBestEffort(List<AvailableWorker> available, long nowMillis) {
        ServingCensus serving = ServingCensus.of(records(), available);
        boolean held =
                servingRecovery.shouldHoldBestEffort(
                        serving.placed(), serving.displaced(), nowMillis);
        if (held != bestEffortHeld) {
            bestEffortHeld = held;
            log.bestEffortHeld(held, serving);
        }
        return held;
    }

    List<AvailableWorker> availableWorkers(long nowMillis) {
        List<WorkerReport> usable =
                workers.values().stream()
                        .filter(view -> view.isUsable(nowMillis, MAXIMUM_LIST_AGE_MILLIS))
                        .map(WorkerView::report)
                        .toList();
        List<String> ids = usable.stream().map(each -> each.getWorker().getWorkerId()).toList();
        return usable.stream()
                .map(
                        report ->
                                new AvailableWorker(
                                        report,
                                        runMonitor.circuitState(
                                                report.getWorker().getWorkerId(), ids, nowMillis),
                                        crashes.history()
                                                .reliability(report.getWorker(), nowMillis)))
                .filter(worker -> worker.circuitState() != WorkerCircuitBreaker.State.OPEN)
                .toList();
    }

    private void finishRound(SchedulingRound round, long roundTerm, CommandResult result) {
        if (roundTerm != term) {
            return;
        }
        roundInProgress = false;
        boolean committed = result != null && result.getVerdict() == CommandResult.Verdict.ACCEPTED;
        if (!committed) {
            return;
        }
        Set<WorkerIdentity> affected = new HashSet<>();
        round.getAssignedList().forEach(runMonitor::recordAssignment);
        round.getAssignedList().forEach(each -> affected.add(each.getWorker()));
        for (EndedRun ended : round.getEndedList()) {
            pendingEnds.remove(ended.getRun());
            workers.values().forEach(view -> view.removeCheckpoint(ended.getRun()));
        }
        crashes.recordCommitted(round.getEndedList(), records());
        if (!round.getEndedList().isEmpty()) {
            workers.values().stream()
                    .filter(view -> view.reportsAny(round.getEndedList()))
                    .forEach(view -> affected.add(view.worker()));
        }
        sendDirectives(affected);
        startRoundIfIdle();
    }
}
