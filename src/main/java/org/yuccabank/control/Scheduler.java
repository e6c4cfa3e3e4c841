package org.yuccabank.control;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;
import org.yuccabank.event.Event;
import org.yuccabank.event.EventLog;
import org.yuccabank.model.AccountId;
import org.yuccabank.model.HostId;
import org.yuccabank.model.JobId;
import org.yuccabank.model.Resources;
import org.yuccabank.model.TaskId;
import org.yuccabank.model.WorkKind;
import org.yuccabank.policy.placement.ClusterView;
import org.yuccabank.policy.placement.Feasibility;
import org.yuccabank.policy.placement.HostView;
import org.yuccabank.policy.placement.PlacementDecision;
import org.yuccabank.policy.placement.PlacementPolicy;
import org.yuccabank.policy.placement.TaskRequest;
import org.yuccabank.policy.quota.FairShareQueue;
import org.yuccabank.policy.quota.QueuedTask;
import org.yuccabank.protocol.generated.CommandResult;
import org.yuccabank.protocol.generated.CommandResult.Verdict;
import org.yuccabank.protocol.generated.LeaseGranted;
import org.yuccabank.protocol.generated.StateCommand;
import org.yuccabank.protocol.generated.SubmitJob;
import org.yuccabank.protocol.generated.TaskEnded;
import org.yuccabank.protocol.generated.TaskPhase;
import org.yuccabank.replication.ReplicaService;
import org.yuccabank.rules.ParsedRules;
import org.yuccabank.rules.RuleSet;
import org.yuccabank.state.SystemState;
import org.yuccabank.state.generated.JobRecord;
import org.yuccabank.state.generated.LeaseRecord;
import org.yuccabank.state.generated.TaskRecord;

/**
 * Places queued tasks and ends expired leases. Runs on the leader, confined to the replica thread.
 *
 * <p>Invariants: a task with a pending grant is not placed again before the outcome of the grant is
 * known; a lease ends only when the end of its task is confirmed, or when it has expired including
 * clock drift and the margin.
 */
final class Scheduler {

    /** Limits the time for which one round occupies the replica thread. */
    private static final int MAXIMUM_GRANTS_PER_ROUND = 100;

    /**
     * Interval at which placement is retried although no command has been applied, because capacity
     * can also become available otherwise, for example when a host is no longer suspect.
     */
    private static final long IDLE_PLACEMENT_INTERVAL_MILLIS = 500;

    private final ReplicaService replica;
    private final Proposer proposer;
    private final HostRegistry registry;
    private final ClusterState cluster;
    private final LeaseTable leases;
    private final PlacementPolicy placement;
    private final RandomGenerator random;
    private final long leaseMillis;
    private final Set<Long> endingTokens = new HashSet<>();
    private final Set<String> suspects = new HashSet<>();
    private long lastPlacementIndex;
    private long lastPlacementMillis;
    private Consumer<String> leaseCommittedListener = taskId -> {};

    Scheduler(
            ReplicaService replica,
            Proposer proposer,
            HostRegistry registry,
            LeaseTable leases,
            PlacementPolicy placement,
            RandomGenerator random,
            long leaseMillis) {
        this.replica = replica;
        this.proposer = proposer;
        this.registry = registry;
        this.cluster = ClusterState.of(registry);
        this.leases = leases;
        this.placement = placement;
        this.random = random;
        this.leaseMillis = leaseMillis;
    }

    /**
     * Runs one scheduling round.
     *
     * @param state the replicated state
     * @param nowMillis current time
     */
    void runRound(SystemState state, long nowMillis) {
        updateSuspects(nowMillis);
        endExpiredLeases(state);
        placeQueuedTasks(state, nowMillis);
    }

    private void updateSuspects(long nowMillis) {
        for (ReportedHost host : registry.hosts()) {
            boolean suspect = host.isSuspect(nowMillis);
            boolean changed =
                    suspect ? suspects.add(host.hostId()) : suspects.remove(host.hostId());
            if (changed) {
                registry.incrementRevision();
            }
            if (changed && suspect) {
                EventLog.warning(
                        Event.HOST_SUSPECT,
                        "host",
                        host.hostId(),
                        "silentMs",
                        nowMillis - host.lastReportMillis());
            }
        }
    }

    private void endExpiredLeases(SystemState state) {
        for (String taskId : state.leasedTasks()) {
            LeaseRecord lease = state.task(taskId).orElseThrow().getLease();
            long token = lease.getFencingToken();
            if (leases.isExpired(token, lease.getLeaseMillis())) {
                EventLog.warning(
                        Event.LEASE_EXPIRED,
                        "task",
                        taskId,
                        "host",
                        lease.getHostId(),
                        "token",
                        token);
                endLease(
                        TaskEnded.newBuilder()
                                .setTaskId(taskId)
                                .setFencingToken(token)
                                .setPhase(TaskPhase.TASK_STOPPED)
                                .setLeaseExpired(true)
                                .build());
            }
        }
    }

    /**
     * Proposes the end of a task under its lease. Does nothing while a proposal for the same lease
     * is in progress.
     *
     * @param ended the end as reported by the agent or derived from the expired lease
     */
    void endLease(TaskEnded ended) {
        long token = ended.getFencingToken();
        if (!endingTokens.add(token)) {
            return;
        }
        proposer.propose(StateCommand.newBuilder().setTaskEnded(ended))
                .whenComplete(
                        (result, error) ->
                                replica.call(
                                        () -> {
                                            endingTokens.remove(token);
                                            leases.remove(token);
                                            return null;
                                        }));
    }

    private void placeQueuedTasks(SystemState state, long nowMillis) {
        boolean unchanged = state.appliedIndex() == lastPlacementIndex;
        if (state.queuedTasks().isEmpty()
                || (unchanged
                        && nowMillis - lastPlacementMillis < IDLE_PLACEMENT_INTERVAL_MILLIS)) {
            return;
        }
        lastPlacementIndex = state.appliedIndex();
        lastPlacementMillis = nowMillis;
        List<HostView> views = cluster.hostViews(state, nowMillis);
        ClusterView view = ClusterView.of(views);
        RuleSet rules = state.parsedRules().map(ParsedRules::ruleSet).orElse(RuleSet.empty());
        FairShareQueue queue = FairShareQueueBuilder.build(state, cluster, capacity(views), rules);
        int grants = 0;
        Optional<QueuedTask> next = queue.next();
        while (next.isPresent() && grants < MAXIMUM_GRANTS_PER_ROUND) {
            QueuedTask waiting = next.get();
            TaskRecord task = state.task(waiting.id().value()).orElseThrow();
            TaskRequest request = request(task, state.job(task.getJobId()).orElseThrow());
            PlacementDecision decision = placement.place(request, view, rules, nowMillis, random);
            if (decision instanceof PlacementDecision.Placed placed) {
                grant(task, request, placed);
                queue.start(waiting.id());
                views.set(
                        placed.index(), cluster.hostView(placed.host().value(), state, nowMillis));
                grants++;
            } else {
                // Prevents starvation of this task by later tasks of the same account.
                queue.skip(waiting.account());
            }
            next = queue.next();
        }
    }

    private static Resources capacity(List<HostView> views) {
        Resources sum = Resources.none();
        for (HostView host : views) {
            sum = sum.plus(host.capacity());
        }
        return sum;
    }

    private void grant(TaskRecord task, TaskRequest request, PlacementDecision.Placed placed) {
        ReportedHost host = registry.host(placed.host().value()).orElseThrow();
        String taskId = task.getTaskId();
        cluster.addPending(
                taskId,
                new ClusterState.PendingGrant(host.hostId(), request.kind(), placed.reservation()));
        LeaseGranted grant =
                LeaseGranted.newBuilder()
                        .setTaskId(taskId)
                        .setHostId(host.hostId())
                        .setIncarnation(host.incarnation())
                        .setReservation(ReportedHost.toResourceVector(placed.reservation()))
                        .setLeaseMillis(leaseMillis)
                        .setCheckpointGeneration(task.getCheckpointGeneration())
                        .build();
        proposer.propose(StateCommand.newBuilder().setLeaseGranted(grant))
                .whenComplete((result, error) -> replica.call(() -> completeGrant(taskId, result)));
    }

    private Void completeGrant(String taskId, CommandResult result) {
        cluster.removePending(taskId);
        if (result == null || result.getVerdict() != Verdict.ACCEPTED) {
            return null;
        }
        leaseCommittedListener.accept(taskId);
        return null;
    }

    /**
     * Sets the listener that is called after a lease is committed.
     *
     * @param listener receives the task identifier on the replica thread
     */
    void setLeaseCommittedListener(Consumer<String> listener) {
        leaseCommittedListener = listener;
    }

    /**
     * Returns the reason why a job can never run.
     *
     * @param job the submitted job
     * @param account account of the job
     * @param rules the rules in force
     * @param nowMillis current time
     * @return the reason, or empty if the job can run or no host is known yet
     */
    Optional<String> infeasibilityReason(
            SubmitJob job, String account, RuleSet rules, long nowMillis) {
        List<HostView> hosts = cluster.unloadedHostViews(nowMillis);
        if (hosts.isEmpty()) {
            return Optional.empty();
        }
        TaskRequest request =
                new TaskRequest(
                        TaskId.of("submitted"),
                        JobId.of("submitted"),
                        AccountId.of(account),
                        WorkKind.of(job.getKind()),
                        false,
                        ReportedHost.toResources(job.getDeclared()),
                        Optional.empty(),
                        Set.of());
        return Feasibility.infeasibilityReason(request, ClusterView.of(hosts), rules);
    }

    private static TaskRequest request(TaskRecord task, JobRecord job) {
        SubmitJob specification = job.getSpecification();
        return new TaskRequest(
                TaskId.of(task.getTaskId()),
                JobId.of(job.getJobId()),
                AccountId.of(job.getAccount()),
                WorkKind.of(specification.getKind()),
                false,
                ReportedHost.toResources(specification.getDeclared()),
                Optional.empty(),
                task.getFailedHostsList().stream().map(HostId::of).collect(Collectors.toSet()));
    }
}
