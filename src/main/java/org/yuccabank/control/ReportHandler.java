package org.yuccabank.control;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.yuccabank.event.Event;
import org.yuccabank.event.EventLog;
import org.yuccabank.protocol.PeerConnection;
import org.yuccabank.protocol.generated.AgentDirectives;
import org.yuccabank.protocol.generated.AgentReport;
import org.yuccabank.protocol.generated.CheckpointConfirmed;
import org.yuccabank.protocol.generated.ClaimOutcome;
import org.yuccabank.protocol.generated.CommandRequest;
import org.yuccabank.protocol.generated.IncarnationSeen;
import org.yuccabank.protocol.generated.OutcomeKind;
import org.yuccabank.protocol.generated.ReportOutcome;
import org.yuccabank.protocol.generated.StateCommand;
import org.yuccabank.protocol.generated.TaskDirective;
import org.yuccabank.protocol.generated.TaskEnded;
import org.yuccabank.protocol.generated.TaskState;
import org.yuccabank.state.SystemState;
import org.yuccabank.state.generated.ClaimRecord;
import org.yuccabank.state.generated.HostRecord;
import org.yuccabank.state.generated.JobRecord;
import org.yuccabank.state.generated.TaskRecord;

/**
 * Processes the reports of agents and computes the directives for each agent. Confined to the
 * replica thread.
 *
 * <p>Invariant: directives are derived from the difference between the committed leases and the
 * state that the agent reports, so a lost directive is repeated in the response to the next report.
 */
final class ReportHandler {

    private final HostRegistry registry;
    private final LeaseTable leases;
    private final Scheduler scheduler;
    private final Proposer proposer;
    private final long leaseMillis;
    private final Set<String> proposedClaimOutcomes = new HashSet<>();

    ReportHandler(
            HostRegistry registry,
            LeaseTable leases,
            Scheduler scheduler,
            Proposer proposer,
            long leaseMillis) {
        this.registry = registry;
        this.leases = leases;
        this.scheduler = scheduler;
        this.proposer = proposer;
        this.leaseMillis = leaseMillis;
    }

    /**
     * Handles a report.
     *
     * @param report the report
     * @param configurationVersion configuration version in force at the agent
     * @param connection connection on which the report arrived
     * @param state the replicated state
     * @param nowMillis current time
     * @return the directives for the agent
     */
    AgentDirectives handle(
            AgentReport report,
            long configurationVersion,
            PeerConnection connection,
            SystemState state,
            long nowMillis) {
        recordIncarnation(report, state);
        Optional<ReportedHost> host =
                registry.update(report, configurationVersion, connection, nowMillis);
        AgentDirectives.Builder directives =
                AgentDirectives.newBuilder()
                        .setAcknowledgedSequence(report.getSequence())
                        .setLeaseMillis(leaseMillis)
                        .setDrain(isDraining(state, report.getHostId()));
        report.getTasksList().forEach(task -> applyTaskState(task, state));
        acknowledgeClaims(report, state, directives);
        addRules(configurationVersion, state, directives);
        if (host.isEmpty()) {
            return directives.setFullReportWanted(true).build();
        }
        addDirectives(host.get(), state, directives);
        return directives.build();
    }

    private void recordIncarnation(AgentReport report, SystemState state) {
        long known = state.host(report.getHostId()).map(HostRecord::getIncarnation).orElse(0L);
        if (report.getIncarnation() > known) {
            IncarnationSeen seen =
                    IncarnationSeen.newBuilder()
                            .setHostId(report.getHostId())
                            .setIncarnation(report.getIncarnation())
                            .build();
            EventLog.information(
                    Event.HOST_JOINED,
                    "host",
                    report.getHostId(),
                    "incarnation",
                    report.getIncarnation());
            proposer.propose(StateCommand.newBuilder().setIncarnationSeen(seen));
        }
    }

    static boolean isDraining(SystemState state, String hostId) {
        return state.host(hostId).map(HostRecord::getDraining).orElse(false);
    }

    private void applyTaskState(TaskState task, SystemState state) {
        Optional<TaskRecord> record =
                state.task(task.getTaskId())
                        .filter(TaskRecord::hasLease)
                        .filter(
                                known ->
                                        known.getLease().getFencingToken()
                                                == task.getFencingToken());
        if (record.isEmpty()) {
            return;
        }
        if (task.getConfirmedCheckpoint() > record.get().getCheckpointGeneration()) {
            CheckpointConfirmed confirmed =
                    CheckpointConfirmed.newBuilder()
                            .setTaskId(task.getTaskId())
                            .setFencingToken(task.getFencingToken())
                            .setGeneration(task.getConfirmedCheckpoint())
                            .setProgress(task.getProgress())
                            .build();
            proposer.propose(StateCommand.newBuilder().setCheckpointConfirmed(confirmed));
        }
        switch (task.getPhase()) {
            case TASK_STOPPED, TASK_FINISHED, TASK_FAILED, TASK_REFUSED ->
                    scheduler.endLease(
                            TaskEnded.newBuilder()
                                    .setTaskId(task.getTaskId())
                                    .setFencingToken(task.getFencingToken())
                                    .setPhase(task.getPhase())
                                    .setDetail(task.getDetail())
                                    .build());
            default -> {
                // A task that starts or runs requires no entry in the replicated log.
            }
        }
    }

    private void acknowledgeClaims(
            AgentReport report, SystemState state, AgentDirectives.Builder directives) {
        for (ClaimOutcome outcome : report.getClaimOutcomesList()) {
            Optional<ClaimRecord> claim = state.claim(outcome.getAccount(), outcome.getKey());
            boolean recorded =
                    claim.isEmpty()
                            || claim.get().getFencingToken() != outcome.getFencingToken()
                            || isFinal(claim.get().getOutcome().getOutcome())
                            || claim.get().getOutcome().getOutcome() == outcome.getOutcome();
            if (recorded) {
                directives.addAcknowledgedClaimTokens(outcome.getFencingToken());
                proposedClaimOutcomes.remove(claimId(outcome));
            } else if (proposedClaimOutcomes.add(claimId(outcome))) {
                CommandRequest request =
                        CommandRequest.newBuilder()
                                .setAccount(outcome.getAccount())
                                .setReportOutcome(ReportOutcome.newBuilder().setOutcome(outcome))
                                .build();
                proposer.propose(StateCommand.newBuilder().setRequest(request));
            }
        }
    }

    private static String claimId(ClaimOutcome outcome) {
        return outcome.getFencingToken() + " " + outcome.getKey();
    }

    private static boolean isFinal(OutcomeKind outcome) {
        return outcome == OutcomeKind.RAN || outcome == OutcomeKind.NOT_RUN;
    }

    private static void addRules(
            long knownVersion, SystemState state, AgentDirectives.Builder directives) {
        state.currentRules()
                .filter(rules -> rules.getVersion() > knownVersion)
                .ifPresent(directives::setRules);
    }

    private void addDirectives(
            ReportedHost host, SystemState state, AgentDirectives.Builder directives) {
        Set<String> leased = new HashSet<>();
        for (TaskRecord task : state.leasedTasksOfHost(host.hostId())) {
            long token = task.getLease().getFencingToken();
            leased.add(task.getTaskId());
            leases.renew(token);
            directives.addRenewedTokens(token);
            directive(host, task, state).ifPresent(directives::addDirectives);
        }
        for (TaskState running : host.tasks()) {
            if (!leased.contains(running.getTaskId())) {
                directives.addDirectives(
                        TaskDirective.newBuilder()
                                .setAction(TaskDirective.Action.STOP)
                                .setTaskId(running.getTaskId())
                                .setFencingToken(running.getFencingToken()));
            }
        }
    }

    private Optional<TaskDirective> directive(
            ReportedHost host, TaskRecord task, SystemState state) {
        JobRecord job = state.job(task.getJobId()).orElseThrow();
        boolean stop = job.getCancelRequested() || isDraining(state, host.hostId());
        if (stop) {
            return Optional.of(
                    TaskDirective.newBuilder()
                            .setAction(TaskDirective.Action.STOP)
                            .setTaskId(task.getTaskId())
                            .setFencingToken(task.getLease().getFencingToken())
                            .build());
        }
        boolean reported =
                host.task(task.getTaskId())
                        .filter(
                                known ->
                                        known.getFencingToken()
                                                == task.getLease().getFencingToken())
                        .isPresent();
        return reported ? Optional.empty() : Optional.of(startDirective(task, job, state));
    }

    /**
     * Returns the directive that starts a task under its lease.
     *
     * @param task a task with a lease
     * @param job its job
     * @param state the replicated state
     * @return the directive
     */
    TaskDirective startDirective(TaskRecord task, JobRecord job, SystemState state) {
        return TaskDirective.newBuilder()
                .setAction(TaskDirective.Action.START)
                .setTaskId(task.getTaskId())
                .setKind(job.getSpecification().getKind())
                .setAccount(job.getAccount())
                .setFencingToken(task.getLease().getFencingToken())
                .setLeaseMillis(leaseMillis)
                .setReservation(task.getLease().getReservation())
                .setCheckpointGeneration(task.getCheckpointGeneration())
                .setRunTimeMillis(job.getSpecification().getDeclaredRunMillis())
                .setCheckpointIntervalMillis(CheckpointIntervals.intervalMillis(state, job))
                .build();
    }

    void clear() {
        proposedClaimOutcomes.clear();
    }
}
