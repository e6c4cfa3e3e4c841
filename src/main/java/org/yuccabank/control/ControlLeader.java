package org.yuccabank.control;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.yuccabank.control.workflow.LeaseBound;
import org.yuccabank.control.workflow.WorkflowLeader;
import org.yuccabank.event.Event;
import org.yuccabank.event.EventLog;
import org.yuccabank.policy.placement.PlacementPolicy;
import org.yuccabank.protocol.PeerConnection;
import org.yuccabank.protocol.generated.AgentDirectives;
import org.yuccabank.protocol.generated.AgentReport;
import org.yuccabank.protocol.generated.CommandRequest;
import org.yuccabank.protocol.generated.CommandResult;
import org.yuccabank.protocol.generated.CommandResult.Verdict;
import org.yuccabank.protocol.generated.Directory;
import org.yuccabank.protocol.generated.DirectoryRequest;
import org.yuccabank.protocol.generated.Envelope;
import org.yuccabank.protocol.generated.RulesVersion;
import org.yuccabank.protocol.generated.StateCommand;
import org.yuccabank.protocol.generated.SubmitJob;
import org.yuccabank.protocol.generated.TaskDirective;
import org.yuccabank.replication.ReplicaService;
import org.yuccabank.rules.ParsedRules;
import org.yuccabank.rules.RuleSet;
import org.yuccabank.state.ReplicatedState;
import org.yuccabank.state.SystemState;
import org.yuccabank.state.generated.JobRecord;
import org.yuccabank.state.generated.TaskRecord;

/**
 * Performs the functions of the leader: processes reports, answers queries, accepts commands and
 * runs the scheduler. Confined to the replica thread.
 */
final class ControlLeader {

    private final ReplicaService replica;
    private final ReplicatedState state;
    private final Proposer proposer;
    private final HostRegistry registry = new HostRegistry();
    private final EntryRegistry entries = new EntryRegistry();
    private final LeaseTable leases;
    private final Scheduler scheduler;
    private final ReportHandler reportHandler;
    private final QueryHandler queryHandler;
    private final WorkflowLeader workflows;
    private long sentRulesVersion;

    private ControlLeader(
            ControlConfiguration configuration,
            ReplicaService replica,
            ReplicatedState state,
            PlacementPolicy placement,
            RandomGenerator random) {
        this.replica = replica;
        this.state = state;
        proposer = Proposer.of(replica, System::currentTimeMillis);
        leases =
                LeaseTable.of(
                        configuration.clockDriftFraction(),
                        () -> TimeUnit.NANOSECONDS.toMillis(System.nanoTime()));
        long leaseMillis = configuration.leaseMillis();
        scheduler =
                new Scheduler(replica, proposer, registry, leases, placement, random, leaseMillis);
        scheduler.setLeaseCommittedListener(this::sendStart);
        reportHandler = new ReportHandler(registry, leases, scheduler, proposer, leaseMillis);
        queryHandler = QueryHandler.of(registry, entries);
        workflows =
                WorkflowLeader.of(
                        replica,
                        state,
                        proposer,
                        new LeaseBound(leaseMillis, configuration.clockDriftFraction()),
                        configuration.desiredVoters());
        replica.addLeaderListener(this::leadershipChanged);
    }

    static ControlLeader of(
            ControlConfiguration configuration,
            ReplicaService replica,
            ReplicatedState state,
            PlacementPolicy placement,
            RandomGenerator random) {
        return new ControlLeader(configuration, replica, state, placement, random);
    }

    WorkflowLeader workflows() {
        return workflows;
    }

    private void leadershipChanged(boolean leads, long term) {
        workflows.leadershipChanged(term);
        registry.clear();
        entries.clear();
        reportHandler.clear();
        leases.startLeadership();
        EventLog.information(
                leads ? Event.LEADER_ELECTED : Event.LEADER_STEPPED_DOWN,
                "term",
                term,
                "openRuns",
                workflows.openRuns(),
                "workersWithOpenRuns",
                workflows.workersWithOpenRuns());
    }

    void registerMetrics(MetricRegistry metrics) {
        Gauge<Integer> queued = () -> state.records().queuedTasks().size();
        Gauge<Integer> leased = () -> state.records().leasedTasks().size();
        metrics.register("tasks_queued", queued);
        metrics.register("tasks_leased", leased);
        workflows.registerMetrics(metrics);
    }

    void runRound(long nowMillis) {
        if (replica.isLeader()) {
            state.records().currentRules().ifPresent(this::sendRules);
            scheduler.runRound(state.records(), nowMillis);
            workflows.tick();
        }
    }

    /**
     * Sends new rules to all connected agents immediately. An agent that misses the message gets
     * the rules with the response to its next report.
     */
    private void sendRules(RulesVersion rules) {
        if (rules.getVersion() <= sentRulesVersion) {
            return;
        }
        sentRulesVersion = rules.getVersion();
        for (ReportedHost host : registry.hosts()) {
            AgentDirectives directives =
                    AgentDirectives.newBuilder()
                            .setAcknowledgedSequence(host.sequence())
                            .setDrain(ReportHandler.isDraining(state.records(), host.hostId()))
                            .setRules(rules)
                            .build();
            Envelope message = Envelope.newBuilder().setAgentDirectives(directives).build();
            host.connection().ifPresent(connection -> connection.send(message));
        }
    }

    AgentDirectives report(
            AgentReport report,
            long configurationVersion,
            PeerConnection connection,
            long nowMillis) {
        return reportHandler.handle(
                report, configurationVersion, connection, state.records(), nowMillis);
    }

    Directory directory(DirectoryRequest request, long nowMillis) {
        entries.update(request, nowMillis);
        return DirectoryBuilder.build(request, registry, state.records(), nowMillis);
    }

    CommandResult query(CommandRequest request, long nowMillis) {
        return queryHandler.handle(request, state.records(), replica.status(), nowMillis);
    }

    /**
     * Handles a command. A command that can never succeed is rejected at once; any other is
     * proposed.
     *
     * @param request the command
     * @param nowMillis current time
     * @return a stage that completes with the result
     */
    CompletionStage<CommandResult> command(CommandRequest request, long nowMillis) {
        Optional<CommandResult> rejection = rejection(request, nowMillis);
        if (rejection.isPresent()) {
            return CompletableFuture.completedFuture(rejection.get());
        }
        return proposer.propose(StateCommand.newBuilder().setRequest(request));
    }

    private Optional<CommandResult> rejection(CommandRequest request, long nowMillis) {
        boolean operatorOnly = request.hasApplyRules() || request.hasDrainHost();
        if (operatorOnly && !request.getOperator()) {
            return Optional.of(result(Verdict.FORBIDDEN, "only operators may do this"));
        }
        if (!request.hasSubmitJob()) {
            return Optional.empty();
        }
        SubmitJob job = request.getSubmitJob();
        if (job.getKind().isEmpty()) {
            return Optional.of(result(Verdict.REJECTED, "the job has no kind"));
        }
        RuleSet rules =
                state.records().parsedRules().map(ParsedRules::ruleSet).orElse(RuleSet.empty());
        return scheduler
                .infeasibilityReason(job, request.getAccount(), rules, nowMillis)
                .map(reason -> result(Verdict.REJECTED, "the job can never run: " + reason));
    }

    private static CommandResult result(Verdict verdict, String message) {
        return CommandResult.newBuilder().setVerdict(verdict).setMessage(message).build();
    }

    /**
     * Sends the start directive to the agent immediately. If the message is lost, the response to
     * the next report repeats it.
     */
    private void sendStart(String taskId) {
        SystemState records = state.records();
        Optional<TaskRecord> task = records.task(taskId).filter(TaskRecord::hasLease);
        if (task.isEmpty()) {
            return;
        }
        leases.renew(task.get().getLease().getFencingToken());
        JobRecord job = records.job(task.get().getJobId()).orElseThrow();
        TaskDirective start = reportHandler.startDirective(task.get(), job, records);
        registry.host(task.get().getLease().getHostId()).ifPresent(host -> send(host, start));
    }

    /**
     * Sends a directive. The agent measures the lease from the report that is acknowledged here.
     */
    private static void send(ReportedHost host, TaskDirective directive) {
        AgentDirectives directives =
                AgentDirectives.newBuilder()
                        .setAcknowledgedSequence(host.lastSequence())
                        .addDirectives(directive)
                        .build();
        Envelope message = Envelope.newBuilder().setAgentDirectives(directives).build();
        host.connection().ifPresent(connection -> connection.send(message));
    }
}
