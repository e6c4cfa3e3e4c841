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
 * Decisions of the agent, without input, output, clock or threads: messages, answers of the worker
 * and ticks go in, {@link AgentAction}s come out of {@link #take()}.
 *
 * <p>A lease is measured from the time at which the report was sent that control answered with it.
 * Control measures it from a later moment, so it ends here before it ends there, however long the
 * answer took. Not thread-safe: one thread calls it.
 */
final class AgentCore implements ReportSource {

    // Several reports, so that the loss of one or a change of leader does not lose the outcomes.
    private static final long SETTLE_MILLIS = 5_000;

    private final AgentConfiguration configuration;
    private final AgentOptions options;
    private final ConfigurationState rules;
    private final TargetPresence target = new TargetPresence();
    private final TaskTable table;
    private final TaskRunner runner;
    private final Reporter reporter;
    private final RequestDesk desk;
    private final List<AgentAction> actions = new ArrayList<>();
    private WorkerState worker;
    private final long incarnation;
    private long lastRead;
    private long nextReadMillis;
    private long workerReadAtMillis;
    private boolean readOpen;
    private boolean stopping;
    private boolean drainedByControl;
    private long idleSinceMillis;

    private AgentCore(AgentConfiguration configuration, long incarnation, AgentOptions options) {
        this.configuration = configuration;
        this.incarnation = incarnation;
        this.options = options;
        this.rules = new ConfigurationState(configuration.limits());
        this.table = TaskTable.of(options);
        this.runner = TaskRunner.of(table, actions::add, this::markChanged);
        this.reporter = new Reporter(configuration, incarnation);
        this.desk =
                new RequestDesk(
                        incarnation, options, configuration.limits(), rules, target, actions::add);
    }

    static AgentCore of(AgentConfiguration configuration, long incarnation, AgentOptions options) {
        Objects.requireNonNull(configuration, "configuration is null");
        return new AgentCore(configuration, incarnation, options);
    }

    /** Takes the actions that the last inputs asked for. */
    List<AgentAction> take() {
        List<AgentAction> result = new ArrayList<>(actions);
        actions.clear();
        return result;
    }

    /** Lets time pass. To be called several times a second. */
    void tick(long nowMillis) {
        if (!readOpen && nowMillis >= nextReadMillis) {
            readOpen = true;
            actions.add(new AgentAction.ReadWorker(++lastRead));
        }
        if (target.expire(nowMillis)) {
            hostChanged();
        }
        expireLeases(nowMillis);
        for (AgentTask task : table.active()) {
            runner.advance(task, nowMillis);
        }
        desk.dispatch(nowMillis);
        table.forget(reporter.acknowledged(), nowMillis);
        desk.ledger().forget(nowMillis);
        if (worker != null && reporter.isDue(nowMillis)) {
            actions.add(new AgentAction.SendReport(reporter.build(this, nowMillis)));
        }
    }

    private void expireLeases(long nowMillis) {
        if (!options.expireLeases()) {
            return;
        }
        for (AgentTask task : table.active()) {
            if (nowMillis >= task.lease.stopAtMillis()) {
                runner.beginStop(task, "lease expired");
            }
        }
    }

    /** Takes the state of the worker. */
    void workerRead(long readId, WorkerState state, long nowMillis) {
        readOpen = false;
        nextReadMillis = nowMillis + configuration.limits().reportIntervalMillis();
        workerReadAtMillis = nowMillis;
        boolean first = worker == null;
        boolean resized =
                first
                        || !worker.capacity().equals(state.capacity())
                        || !worker.serviceReservation().equals(state.serviceReservation());
        worker = state;
        if (resized) {
            table.setCapacity(state.capacity(), state.serviceReservation());
            reporter.markHostChanged();
        }
        if (first) {
            adoptAll(state, nowMillis);
        } else {
            runner.reconcile(state, readId, nowMillis);
        }
    }

    private void adoptAll(WorkerState state, long nowMillis) {
        if (!options.adoptTasks()) {
            return;
        }
        table.raiseWatermark(state.newestToken());
        for (WorkerTask listed : state.tasks()) {
            markChanged(table.adopt(listed, nowMillis));
        }
    }

    /** Takes the news that the worker did not answer a reading. */
    void workerReadFailed(long nowMillis) {
        readOpen = false;
        nextReadMillis = nowMillis + configuration.limits().reportIntervalMillis();
    }

    /** Takes the answer of the worker to a call. */
    void workerAnswered(WorkerCall call, WorkerAnswer answer, long nowMillis) {
        table.find(call.token())
                .ifPresent(task -> runner.answered(task, call, answer, lastRead, nowMillis));
    }

    /**
     * Takes the answer of control to a report.
     *
     * @param controlVersion newest configuration version that control knows
     */
    void directives(AgentDirectives directives, long controlVersion, long nowMillis) {
        if (directives.getFullReportWanted()) {
            reporter.wantFull();
        }
        Optional<Long> sentAt = reporter.sentAt(directives.getAcknowledgedSequence());
        if (sentAt.isEmpty()) {
            return;
        }
        long base = options.leaseFromReport() ? sentAt.get() : nowMillis;
        boolean newest = reporter.acknowledge(directives.getAcknowledgedSequence());
        rules.update(directives.getRules(), controlVersion, base);
        if (newest && directives.getDrain() != drainedByControl) {
            drainedByControl = directives.getDrain();
            desk.setClosed(isDraining());
            hostChanged();
        }
        renew(directives, base);
        for (long token : directives.getAcknowledgedClaimTokensList()) {
            desk.ledger().acknowledge(token, directives.getAcknowledgedSequence());
        }
        applyAll(directives, base, nowMillis);
    }

    /**
     * Takes directives that control sends between two reports. They name the newest report that
     * control has, from which their leases are measured; they change tasks only.
     */
    void pushed(AgentDirectives directives, long nowMillis) {
        Optional<Long> sentAt = reporter.sentAt(directives.getAcknowledgedSequence());
        if (sentAt.isPresent()) {
            long base = options.leaseFromReport() ? sentAt.get() : nowMillis;
            applyAll(directives, base, nowMillis);
        }
    }

    private void applyAll(AgentDirectives directives, long base, long nowMillis) {
        for (TaskDirective directive : directives.getDirectivesList()) {
            apply(directive, base, nowMillis);
        }
        if (isDraining()) {
            table.active().forEach(task -> runner.beginStop(task, "the host drains"));
        }
        for (AgentTask task : table.active()) {
            runner.advance(task, nowMillis);
        }
    }

    private void renew(AgentDirectives directives, long base) {
        for (long token : directives.getRenewedTokensList()) {
            table.find(token)
                    .filter(AgentTask::isActive)
                    .ifPresent(task -> task.extendLease(lease(base, directives.getLeaseMillis())));
        }
    }

    private Lease lease(long base, long leaseMillis) {
        return Lease.of(base, leaseMillis, configuration.limits().clockDriftPercent());
    }

    private void apply(TaskDirective directive, long base, long nowMillis) {
        Optional<AgentTask> known = table.find(directive.getFencingToken());
        switch (directive.getAction()) {
            case START -> start(directive, base, nowMillis);
            case STOP -> {
                if (known.isPresent()) {
                    runner.beginStop(known.get(), "stopped by control");
                } else if (!table.isForgotten(directive.getFencingToken())) {
                    markChanged(table.block(directive, nowMillis));
                }
            }
            case CHECKPOINT -> known.ifPresent(task -> checkpoint(task, directive));
            case THROTTLE -> known.ifPresent(task -> task.throttleWanted = true);
            case UNTHROTTLE -> known.ifPresent(task -> task.throttleWanted = false);
            default -> {}
        }
    }

    private static void checkpoint(AgentTask task, TaskDirective directive) {
        task.checkpointWanted = true;
        long named = directive.getCheckpointGeneration() - 1;
        task.requestedCheckpoint = Math.max(task.requestedCheckpoint, named);
    }

    private void start(TaskDirective directive, long base, long nowMillis) {
        Optional<AgentTask> known = table.find(directive.getFencingToken());
        if (known.isPresent()) {
            // Control repeats a start until a report names its token.
            markChanged(known.get());
            return;
        }
        Lease lease = lease(base, directive.getLeaseMillis());
        Optional<String> refusal = Optional.empty();
        if (isDraining()) {
            refusal = Optional.of("the host drains");
        } else if (worker == null || !rules.isLeased(nowMillis)) {
            refusal = Optional.of("control has not confirmed the configuration recently");
        } else if (lease.stopAtMillis() <= nowMillis) {
            refusal = Optional.of("the lease ended before the directive came");
        }
        markChanged(
                refusal.isPresent()
                        ? table.refuse(directive, refusal.get(), nowMillis)
                        : table.admit(directive, lease, nowMillis));
    }

    private void markChanged(AgentTask task) {
        task.changedAt = reporter.nextSequence();
    }

    private void hostChanged() {
        reporter.markHostChanged();
        reporter.hasten();
    }

    /** Takes a request of an entry; it is answered by an {@link AgentAction.Answer}. */
    void invoke(long ticket, Invoke request, long entryVersion, long nowMillis) {
        desk.invoke(ticket, request, entryVersion, worker != null, nowMillis);
    }

    /** Takes the answer of the target to a request. */
    void served(long ticket, ServeAnswer answer, long nowMillis) {
        desk.served(ticket, answer, nowMillis);
    }

    /** Answers a question about a request. */
    OutcomeAnswer query(OutcomeQuery query, long nowMillis) {
        boolean otherIncarnation =
                query.getFencingToken() != 0 && query.getIncarnation() != incarnation;
        if (otherIncarnation && options.checkIncarnation()) {
            return RequestDesk.unknownTo(query);
        }
        return desk.query(query, nowMillis);
    }

    /** Takes an announcement of the target. */
    void announce(Announcement announcement, long nowMillis) {
        if (target.announce(announcement, nowMillis)) {
            desk.setLimits(announcement.slots(), announcement.connections());
            hostChanged();
        }
    }

    /** Takes the withdrawal of the target. */
    void withdraw() {
        if (target.withdraw()) {
            hostChanged();
        }
    }

    /** Begins the end of the process: nothing new is admitted, tasks are stopped. */
    void beginDrain(long nowMillis) {
        stopping = true;
        idleSinceMillis = nowMillis;
        desk.setClosed(true);
        hostChanged();
        for (AgentTask task : table.active()) {
            runner.beginStop(task, "the agent stops");
            runner.advance(task, nowMillis);
        }
    }

    /** Sends a report with the next tick, after the leader of control has changed. */
    void hastenReport() {
        reporter.hasten();
    }

    /**
     * Tells whether no request and no task is left and control knows all outcomes. Without an
     * acknowledgement of control the wait for it ends after {@link #SETTLE_MILLIS}.
     */
    boolean isDrained(long nowMillis) {
        boolean idle = desk.held() == 0 && table.active().isEmpty();
        if (!idle) {
            idleSinceMillis = nowMillis;
            return false;
        }
        boolean settled = desk.ledger().isSettled() && reporter.isSettled(table.all());
        return settled || nowMillis - idleSinceMillis > SETTLE_MILLIS;
    }

    boolean isDraining() {
        return stopping || drainedByControl;
    }

    boolean isReady(long nowMillis) {
        return worker != null && rules.isLeased(nowMillis);
    }

    boolean isServing() {
        return target.isServing() && !isDraining();
    }

    long configurationVersion() {
        return rules.version();
    }

    RulesVersion rules() {
        return rules.rules();
    }

    int heldRequests() {
        return desk.held();
    }

    long servedCount() {
        return desk.servedCount();
    }

    long refusedCount() {
        return desk.refusedCount();
    }

    @Override
    public void writeUsage(AgentReport.Builder report) {
        if (worker != null) {
            report.setUsage(Vectors.toMessage(worker.usage()))
                    .setUsageAgeMillis(worker.usageAgeMillis());
        }
        report.setDraining(isDraining());
        target.toMessage(desk.held(), isDraining()).ifPresent(report::addTargets);
    }

    @Override
    public void writeHost(AgentReport.Builder report) {
        report.setCapacity(Vectors.toMessage(worker.capacity()))
                .setServiceReservation(Vectors.toMessage(worker.serviceReservation()))
                .setAgentAddress(configuration.advertisedAddress());
    }

    @Override
    public Collection<AgentTask> tasks() {
        return table.all();
    }

    @Override
    public RequestLedger claims() {
        return desk.ledger();
    }

    Resources reserved() {
        return table.reserved();
    }

    long workerReadAtMillis() {
        return workerReadAtMillis;
    }
}
