package org.yuccabank.agent;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.yuccabank.model.Resources;
import org.yuccabank.protocol.generated.AgentDirectives;
import org.yuccabank.protocol.generated.AgentReport;
import org.yuccabank.protocol.generated.Invoke;
import org.yuccabank.protocol.generated.OutcomeAnswer;
import org.yuccabank.protocol.generated.OutcomeQuery;
import org.yuccabank.protocol.generated.RulesVersion;
import org.yuccabank.protocol.generated.TaskDirective;

/**
 * The state machine of the agent, without I/O, clock or threads: messages, results of worker calls
 * and ticks are its inputs, the {@link AgentAction}s from {@link #takeActions()} its outputs.
 *
 * <p>A lease starts at the time at which the agent sent the report that control answered with the
 * lease. Control starts it later, so it ends here before it ends there, regardless of the latency
 * of the answer. Not thread-safe: must be called by one thread.
 */
final class AgentCore implements ReportSource {

    // Spans several report intervals, so that a lost report or a change of leader loses no outcome.
    private static final long ACKNOWLEDGEMENT_WAIT_MILLIS = 5_000;

    private final AgentConfiguration configuration;
    private final AgentOptions options;
    private final ConfigurationState configurationState;
    private final TargetRegistration target = new TargetRegistration();
    private final TaskTable taskTable;
    private final TaskReconciler reconciler;
    private final Reporter reporter;
    private final RequestHandler requests;
    private final List<AgentAction> actions = new ArrayList<>();
    private WorkerState worker;
    private final long incarnation;
    private long lastRead;
    private long nextReadMillis;
    private long workerReadAtMillis;
    private boolean readInProgress;
    private boolean stopping;
    private boolean drainRequestedByControl;
    private long idleSinceMillis;

    private AgentCore(AgentConfiguration configuration, long incarnation, AgentOptions options) {
        this.configuration = configuration;
        this.incarnation = incarnation;
        this.options = options;
        this.configurationState = new ConfigurationState(configuration.limits());
        this.taskTable = TaskTable.of(options);
        this.reconciler = TaskReconciler.of(taskTable, actions::add, this::markChanged);
        this.reporter = new Reporter(configuration, incarnation);
        this.requests =
                new RequestHandler(
                        incarnation,
                        options,
                        configuration.limits(),
                        configurationState,
                        target,
                        actions::add);
    }

    static AgentCore of(AgentConfiguration configuration, long incarnation, AgentOptions options) {
        Objects.requireNonNull(configuration, "configuration is null");
        return new AgentCore(configuration, incarnation, options);
    }

    /** Returns the actions requested by the inputs since the last call, and clears them. */
    List<AgentAction> takeActions() {
        List<AgentAction> taken = new ArrayList<>(actions);
        actions.clear();
        return taken;
    }

    /** Handles everything that is due at the given time. Must be called several times a second. */
    void tick(long nowMillis) {
        if (!readInProgress && nowMillis >= nextReadMillis) {
            readInProgress = true;
            actions.add(new AgentAction.ReadWorker(++lastRead));
        }
        if (target.expire(nowMillis)) {
            reportHostChange();
        }
        expireLeases(nowMillis);
        for (AgentTask task : taskTable.active()) {
            reconciler.advance(task, nowMillis);
        }
        requests.dispatch(nowMillis);
        taskTable.evict(reporter.acknowledged(), nowMillis);
        requests.claimTable().evict(nowMillis);
        if (worker != null && reporter.isDue(nowMillis)) {
            actions.add(new AgentAction.SendReport(reporter.build(this, nowMillis)));
        }
    }

    private void expireLeases(long nowMillis) {
        if (!options.expireLeases()) {
            return;
        }
        for (AgentTask task : taskTable.active()) {
            if (nowMillis >= task.lease.stopAtMillis()) {
                reconciler.beginStop(task, "lease expired");
            }
        }
    }

    /** Handles the state that the worker returned for a read. */
    void onWorkerState(long readId, WorkerState state, long nowMillis) {
        readInProgress = false;
        nextReadMillis = nowMillis + configuration.limits().reportIntervalMillis();
        workerReadAtMillis = nowMillis;
        boolean firstRead = worker == null;
        boolean resized =
                firstRead
                        || !worker.capacity().equals(state.capacity())
                        || !worker.serviceReservation().equals(state.serviceReservation());
        worker = state;
        if (resized) {
            taskTable.setCapacity(state.capacity(), state.serviceReservation());
            reporter.markHostChanged();
        }
        if (firstRead) {
            adoptAll(state, nowMillis);
        } else {
            reconciler.reconcile(state, readId, nowMillis);
        }
    }

    private void adoptAll(WorkerState state, long nowMillis) {
        if (!options.adoptTasks()) {
            return;
        }
        taskTable.raiseWatermark(state.newestToken());
        for (WorkerTask listed : state.tasks()) {
            markChanged(taskTable.adopt(listed, nowMillis));
        }
    }

    /** Handles a read that the worker did not answer. */
    void onWorkerReadFailed(long nowMillis) {
        readInProgress = false;
        nextReadMillis = nowMillis + configuration.limits().reportIntervalMillis();
    }

    /** Handles the result of a call to the worker. */
    void onWorkerCallResult(WorkerCall call, WorkerCallResult result, long nowMillis) {
        taskTable
                .find(call.token())
                .ifPresent(
                        task -> reconciler.onCallResult(task, call, result, lastRead, nowMillis));
    }

    /**
     * Handles the answer of control to a report.
     *
     * @param controlVersion newest configuration version known to control
     */
    void onDirectives(AgentDirectives directives, long controlVersion, long nowMillis) {
        if (directives.getFullReportWanted()) {
            reporter.requestFullReport();
        }
        Optional<Long> sentAtMillis = reporter.sentAtMillis(directives.getAcknowledgedSequence());
        if (sentAtMillis.isEmpty()) {
            return;
        }
        long leaseStartMillis = options.leaseFromReport() ? sentAtMillis.get() : nowMillis;
        boolean newest = reporter.acknowledge(directives.getAcknowledgedSequence());
        configurationState.update(directives.getRules(), controlVersion, leaseStartMillis);
        if (newest && directives.getDrain() != drainRequestedByControl) {
            drainRequestedByControl = directives.getDrain();
            requests.setClosed(isDraining());
            reportHostChange();
        }
        renewLeases(directives, leaseStartMillis);
        for (long token : directives.getAcknowledgedClaimTokensList()) {
            requests.claimTable().acknowledge(token, directives.getAcknowledgedSequence());
        }
        applyDirectives(directives, leaseStartMillis, nowMillis);
    }

    /**
     * Handles directives that control sends between two reports. They carry the sequence of the
     * newest report that control has received, from which their leases are measured, and affect
     * only tasks.
     */
    void onPushedDirectives(AgentDirectives directives, long nowMillis) {
        Optional<Long> sentAtMillis = reporter.sentAtMillis(directives.getAcknowledgedSequence());
        if (sentAtMillis.isPresent()) {
            long leaseStartMillis = options.leaseFromReport() ? sentAtMillis.get() : nowMillis;
            applyDirectives(directives, leaseStartMillis, nowMillis);
        }
    }

    private void applyDirectives(
            AgentDirectives directives, long leaseStartMillis, long nowMillis) {
        for (TaskDirective directive : directives.getDirectivesList()) {
            applyDirective(directive, leaseStartMillis, nowMillis);
        }
        if (isDraining()) {
            taskTable.active().forEach(task -> reconciler.beginStop(task, "the host drains"));
        }
        for (AgentTask task : taskTable.active()) {
            reconciler.advance(task, nowMillis);
        }
    }

    private void renewLeases(AgentDirectives directives, long leaseStartMillis) {
        for (long token : directives.getRenewedTokensList()) {
            taskTable
                    .find(token)
                    .filter(AgentTask::isActive)
                    .ifPresent(
                            task ->
                                    task.extendLease(
                                            lease(leaseStartMillis, directives.getLeaseMillis())));
        }
    }

    private Lease lease(long leaseStartMillis, long leaseMillis) {
        return Lease.of(leaseStartMillis, leaseMillis, configuration.limits().clockDriftPercent());
    }

    private void applyDirective(TaskDirective directive, long leaseStartMillis, long nowMillis) {
        Optional<AgentTask> knownTask = taskTable.find(directive.getFencingToken());
        switch (directive.getAction()) {
            case START -> start(directive, leaseStartMillis, nowMillis);
            case STOP -> {
                if (knownTask.isPresent()) {
                    reconciler.beginStop(knownTask.get(), "stopped by control");
                } else if (!taskTable.isEvicted(directive.getFencingToken())) {
                    markChanged(taskTable.recordEarlyStop(directive, nowMillis));
                }
            }
            case CHECKPOINT -> knownTask.ifPresent(task -> requestCheckpoint(task, directive));
            case THROTTLE -> knownTask.ifPresent(task -> task.throttleRequested = true);
            case UNTHROTTLE -> knownTask.ifPresent(task -> task.throttleRequested = false);
            default -> {}
        }
    }

    private static void requestCheckpoint(AgentTask task, TaskDirective directive) {
        task.checkpointPending = true;
        long precedingGeneration = directive.getCheckpointGeneration() - 1;
        task.requestedGeneration = Math.max(task.requestedGeneration, precedingGeneration);
    }

    private void start(TaskDirective directive, long leaseStartMillis, long nowMillis) {
        Optional<AgentTask> knownTask = taskTable.find(directive.getFencingToken());
        if (knownTask.isPresent()) {
            // Control repeats a start until a report contains its token.
            markChanged(knownTask.get());
            return;
        }
        Lease lease = lease(leaseStartMillis, directive.getLeaseMillis());
        Optional<String> refusal = Optional.empty();
        if (isDraining()) {
            refusal = Optional.of("the host drains");
        } else if (worker == null || !configurationState.hasValidLease(nowMillis)) {
            refusal = Optional.of("control has not confirmed the configuration recently");
        } else if (lease.stopAtMillis() <= nowMillis) {
            refusal = Optional.of("the lease ended before the directive came");
        }
        markChanged(
                refusal.isPresent()
                        ? taskTable.refuse(directive, refusal.get(), nowMillis)
                        : taskTable.admit(directive, lease, nowMillis));
    }

    private void markChanged(AgentTask task) {
        task.changedSequence = reporter.nextSequence();
    }

    private void reportHostChange() {
        reporter.markHostChanged();
        reporter.requestReport();
    }

    /** Handles a request from an entry; an {@link AgentAction.Answer} carries the result. */
    void invoke(long requestNumber, Invoke request, long entryVersion, long nowMillis) {
        requests.invoke(requestNumber, request, entryVersion, worker != null, nowMillis);
    }

    /** Handles the result of a request to the target. */
    void onServeResult(long requestNumber, ServeResult result, long nowMillis) {
        requests.onServeResult(requestNumber, result, nowMillis);
    }

    /** Returns what is known about the outcome of a request. */
    OutcomeAnswer query(OutcomeQuery query, long nowMillis) {
        boolean otherIncarnation =
                query.getFencingToken() != 0 && query.getIncarnation() != incarnation;
        if (otherIncarnation && options.checkIncarnation()) {
            return RequestHandler.unknownOutcome(query);
        }
        return requests.query(query, nowMillis);
    }

    /** Handles an announcement of the target. */
    void announce(Announcement announcement, long nowMillis) {
        if (target.announce(announcement, nowMillis)) {
            requests.setLimits(announcement.slots(), announcement.connections());
            reportHostChange();
        }
    }

    /** Handles the withdrawal of the target. */
    void withdraw() {
        if (target.withdraw()) {
            reportHostChange();
        }
    }

    /** Starts the shutdown: refuses new work and stops all tasks. */
    void beginDrain(long nowMillis) {
        stopping = true;
        idleSinceMillis = nowMillis;
        requests.setClosed(true);
        reportHostChange();
        for (AgentTask task : taskTable.active()) {
            reconciler.beginStop(task, "the agent stops");
            reconciler.advance(task, nowMillis);
        }
    }

    /** Schedules a report for the next tick. Called after a change of the control leader. */
    void requestReport() {
        reporter.requestReport();
    }

    /**
     * Returns whether no request and no task is left and control has acknowledged all outcomes. The
     * wait for the acknowledgement ends after {@link #ACKNOWLEDGEMENT_WAIT_MILLIS}.
     */
    boolean isDrained(long nowMillis) {
        boolean idle = requests.admittedCount() == 0 && taskTable.active().isEmpty();
        if (!idle) {
            idleSinceMillis = nowMillis;
            return false;
        }
        boolean settled = requests.claimTable().isSettled() && reporter.isSettled(taskTable.all());
        return settled || nowMillis - idleSinceMillis > ACKNOWLEDGEMENT_WAIT_MILLIS;
    }

    boolean isDraining() {
        return stopping || drainRequestedByControl;
    }

    boolean isReady(long nowMillis) {
        return worker != null && configurationState.hasValidLease(nowMillis);
    }

    boolean isServing() {
        return target.isServing() && !isDraining();
    }

    long configurationVersion() {
        return configurationState.version();
    }

    RulesVersion rules() {
        return configurationState.rules();
    }

    int admittedRequests() {
        return requests.admittedCount();
    }

    long servedCount() {
        return requests.servedCount();
    }

    long refusedCount() {
        return requests.refusedCount();
    }

    @Override
    public void writeUsage(AgentReport.Builder report) {
        if (worker != null) {
            report.setUsage(ResourceVectors.toMessage(worker.usage()))
                    .setUsageAgeMillis(worker.usageAgeMillis());
        }
        report.setDraining(isDraining());
        target.toMessage(requests.admittedCount(), isDraining()).ifPresent(report::addTargets);
    }

    @Override
    public void writeHost(AgentReport.Builder report) {
        report.setCapacity(ResourceVectors.toMessage(worker.capacity()))
                .setServiceReservation(ResourceVectors.toMessage(worker.serviceReservation()))
                .setAgentAddress(configuration.advertisedAddress());
    }

    @Override
    public Collection<AgentTask> tasks() {
        return taskTable.all();
    }

    @Override
    public ClaimTable claims() {
        return requests.claimTable();
    }

    Resources reserved() {
        return taskTable.reserved();
    }

    long workerReadAtMillis() {
        return workerReadAtMillis;
    }
}
