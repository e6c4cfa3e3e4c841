package org.yuccabank.state;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.yuccabank.protocol.generated.CommandResult;
import org.yuccabank.protocol.generated.FleetConfiguration;
import org.yuccabank.protocol.generated.RulesVersion;
import org.yuccabank.rules.ParsedRules;
import org.yuccabank.rules.RulesParser;
import org.yuccabank.state.generated.AuditRecord;
import org.yuccabank.state.generated.ClaimRecord;
import org.yuccabank.state.generated.HostRecord;
import org.yuccabank.state.generated.JobRecord;
import org.yuccabank.state.generated.RememberedResult;
import org.yuccabank.state.generated.StateSnapshot;
import org.yuccabank.state.generated.TaskRecord;
import org.yuccabank.state.generated.TaskRecordPhase;
import org.yuccabank.state.workflow.WorkflowRecords;

/**
 * The records of the replicated state.
 *
 * <p>Invariants: a task has at most one lease; the versions of the rules increase by one; the
 * secondary indexes are consistent with the records. Confined to the replica thread.
 */
public final class SystemState {

    /** Retention of command results. A command that is resent later is applied as a new one. */
    public static final long RESULT_RETENTION_MILLIS = 24L * 60 * 60 * 1000;

    /** Retention of claims that are no longer open, counted from the claim. */
    public static final long CLAIM_RETENTION_MILLIS = 7 * 24L * 60 * 60 * 1000;

    /** Retention of jobs, counted from their end. */
    public static final long JOB_RETENTION_MILLIS = 3 * 24L * 60 * 60 * 1000;

    /**
     * Maximum number of audit records, of which the latest are kept. Covers about 5 days at 10,000
     * changes a day.
     */
    public static final int MAXIMUM_AUDIT_RECORDS = 50_000;

    /**
     * Maximum number of versions of the rules, of which the latest are kept. Covers 4 days at 2,500
     * changes a day.
     */
    public static final int MAXIMUM_RULES_VERSIONS = 10_000;

    private final List<RulesVersion> rules = new ArrayList<>();
    private final Map<String, JobRecord> jobs = new LinkedHashMap<>();
    private final Map<String, TaskRecord> tasks = new LinkedHashMap<>();
    private final Map<String, List<String>> tasksOfJob = new HashMap<>();
    private final Set<String> queuedTasks = new LinkedHashSet<>();
    private final Set<String> leasedTasks = new LinkedHashSet<>();
    private final Map<String, Set<String>> leasedTasksOfHost = new HashMap<>();
    private final Map<String, ClaimRecord> claims = new LinkedHashMap<>();
    private final Map<String, Set<String>> openClaimsOfHost = new HashMap<>();
    private final Deque<AuditRecord> audit = new ArrayDeque<>();
    private final Map<String, RememberedResult> results = new LinkedHashMap<>();
    private final Map<String, HostRecord> hosts = new LinkedHashMap<>();
    private Optional<ParsedRules> parsedRules = Optional.empty();
    private WorkflowRecords workflows = new WorkflowRecords();
    private long appliedIndex;

    /**
     * Returns the current rules.
     *
     * @return the version in force, empty before the first one
     */
    public Optional<RulesVersion> currentRules() {
        return rules.isEmpty() ? Optional.empty() : Optional.of(rules.get(rules.size() - 1));
    }

    /**
     * Returns all retained versions of the rules.
     *
     * @return the versions, oldest first
     */
    public List<RulesVersion> rulesHistory() {
        return Collections.unmodifiableList(rules);
    }

    /**
     * Returns the current rules in parsed form.
     *
     * @return the rules, empty before the first version
     */
    public Optional<ParsedRules> parsedRules() {
        return parsedRules;
    }

    /**
     * Returns the records of the queue configuration and the workflows.
     *
     * @return the records
     */
    public WorkflowRecords workflows() {
        return workflows;
    }

    void addRules(RulesVersion version, ParsedRules parsed) {
        rules.add(version);
        parsedRules = Optional.of(parsed);
        if (rules.size() > MAXIMUM_RULES_VERSIONS) {
            rules.remove(0);
        }
    }

    /**
     * Returns a job.
     *
     * @param jobId identifier of the job
     * @return the job, empty if unknown
     */
    public Optional<JobRecord> job(String jobId) {
        return Optional.ofNullable(jobs.get(jobId));
    }

    /**
     * Returns all jobs.
     *
     * @return the jobs, oldest first
     */
    public Collection<JobRecord> jobs() {
        return Collections.unmodifiableCollection(jobs.values());
    }

    void putJob(JobRecord job) {
        jobs.put(job.getJobId(), job);
    }

    /**
     * Returns a task.
     *
     * @param taskId identifier of the task
     * @return the task, empty if unknown
     */
    public Optional<TaskRecord> task(String taskId) {
        return Optional.ofNullable(tasks.get(taskId));
    }

    /**
     * Returns the tasks of a job.
     *
     * @param jobId identifier of the job
     * @return its tasks
     */
    public List<TaskRecord> tasksOfJob(String jobId) {
        return tasksOfJob.getOrDefault(jobId, List.of()).stream().map(tasks::get).toList();
    }

    /**
     * Returns the identifiers of the tasks that wait for a lease.
     *
     * @return the identifiers, in the order in which the tasks were queued
     */
    public Set<String> queuedTasks() {
        return Collections.unmodifiableSet(queuedTasks);
    }

    /**
     * Returns the identifiers of the tasks that hold a lease.
     *
     * @return the identifiers
     */
    public Set<String> leasedTasks() {
        return Collections.unmodifiableSet(leasedTasks);
    }

    /**
     * Returns the tasks that hold a lease on a host.
     *
     * @param hostId identifier of the host
     * @return the tasks
     */
    public List<TaskRecord> leasedTasksOfHost(String hostId) {
        return leasedTasksOfHost.getOrDefault(hostId, Set.of()).stream().map(tasks::get).toList();
    }

    void putTask(TaskRecord task) {
        String identifier = task.getTaskId();
        TaskRecord previous = tasks.put(identifier, task);
        if (previous == null) {
            tasksOfJob.computeIfAbsent(task.getJobId(), key -> new ArrayList<>()).add(identifier);
        } else if (previous.hasLease()) {
            leasedTasksOfHost.get(previous.getLease().getHostId()).remove(identifier);
        }
        if (task.hasLease()) {
            leasedTasksOfHost
                    .computeIfAbsent(task.getLease().getHostId(), host -> new LinkedHashSet<>())
                    .add(identifier);
        }
        setMembership(queuedTasks, identifier, task.getPhase() == TaskRecordPhase.TASK_QUEUED);
        setMembership(leasedTasks, identifier, task.getPhase() == TaskRecordPhase.TASK_LEASED);
    }

    private static void setMembership(Set<String> set, String identifier, boolean member) {
        if (member) {
            set.add(identifier);
        } else {
            set.remove(identifier);
        }
    }

    private void removeJob(String jobId) {
        jobs.remove(jobId);
        tasksOfJob.getOrDefault(jobId, List.of()).forEach(tasks::remove);
        tasksOfJob.remove(jobId);
    }

    /**
     * Returns the claim of an at-most-once request.
     *
     * @param account account of the client
     * @param key idempotency key
     * @return the claim, empty if there is none
     */
    public Optional<ClaimRecord> claim(String account, String key) {
        return Optional.ofNullable(claims.get(claimKey(account, key)));
    }

    void putClaim(ClaimRecord claim) {
        String key = claimKey(claim.getAccount(), claim.getKey());
        ClaimRecord previous = claims.put(key, claim);
        if (previous != null) {
            openClaimsOfHost.getOrDefault(previous.getHostId(), new LinkedHashSet<>()).remove(key);
        }
        if (ClaimCommands.isOpen(claim)) {
            openClaimsOfHost
                    .computeIfAbsent(claim.getHostId(), host -> new LinkedHashSet<>())
                    .add(key);
        }
    }

    List<ClaimRecord> openClaimsOfHost(String hostId) {
        return openClaimsOfHost.getOrDefault(hostId, Set.of()).stream().map(claims::get).toList();
    }

    /**
     * Returns the number of retained claims.
     *
     * @return the count
     */
    public int claimCount() {
        return claims.size();
    }

    private static String claimKey(String account, String key) {
        return account.length() + ":" + account + key;
    }

    /**
     * Returns the audit trail.
     *
     * @return the retained records, oldest first
     */
    public Collection<AuditRecord> audit() {
        return Collections.unmodifiableCollection(audit);
    }

    void addAudit(AuditRecord entry) {
        audit.addLast(entry);
        if (audit.size() > MAXIMUM_AUDIT_RECORDS) {
            audit.removeFirst();
        }
    }

    Optional<CommandResult> result(String commandId) {
        return Optional.ofNullable(results.get(commandId)).map(RememberedResult::getResult);
    }

    void putResult(RememberedResult result) {
        results.put(result.getCommandId(), result);
    }

    /**
     * Returns a host that is or was part of the cluster.
     *
     * @param hostId identifier of the host
     * @return its record, empty if the host has never reported
     */
    public Optional<HostRecord> host(String hostId) {
        return Optional.ofNullable(hosts.get(hostId));
    }

    void putHost(HostRecord host) {
        hosts.put(host.getHostId(), host);
    }

    /**
     * Returns the log index of the latest applied command.
     *
     * @return the index, 0 before the first command
     */
    public long appliedIndex() {
        return appliedIndex;
    }

    void setAppliedIndex(long index) {
        appliedIndex = index;
    }

    /** Removes the records whose retention has ended. */
    void removeExpired(long nowMillis) {
        results.values()
                .removeIf(result -> result.getAtMillis() + RESULT_RETENTION_MILLIS < nowMillis);
        claims.values()
                .removeIf(
                        claim ->
                                !ClaimCommands.isOpen(claim)
                                        && claim.getClaimedAtMillis() + CLAIM_RETENTION_MILLIS
                                                < nowMillis);
        jobs.values().stream()
                .filter(job -> job.getEndedAtMillis() > 0)
                .filter(job -> job.getEndedAtMillis() + JOB_RETENTION_MILLIS < nowMillis)
                .map(JobRecord::getJobId)
                .toList()
                .forEach(this::removeJob);
    }

    StateSnapshot toSnapshot() {
        return StateSnapshot.newBuilder()
                .setAppliedIndex(appliedIndex)
                .addAllRules(rules)
                .addAllJobs(jobs.values())
                .addAllTasks(tasks.values())
                .addAllClaims(claims.values())
                .addAllAudit(audit)
                .addAllResults(results.values())
                .addAllHosts(hosts.values())
                .setConfiguration(
                        workflows.configuration().orElse(FleetConfiguration.getDefaultInstance()))
                .addAllWorkflows(workflows.toRecords())
                .setLearned(workflows.learned())
                .addAllEarlyCancellations(workflows.toEarlyCancellations())
                .build();
    }

    static SystemState fromSnapshot(StateSnapshot snapshot) {
        SystemState state = new SystemState();
        state.appliedIndex = snapshot.getAppliedIndex();
        state.rules.addAll(snapshot.getRulesList());
        state.parsedRules =
                state.currentRules()
                        .flatMap(
                                version ->
                                        RulesParser.parse(version.getText(), "rules").toOptional());
        snapshot.getJobsList().forEach(state::putJob);
        snapshot.getTasksList().forEach(state::putTask);
        snapshot.getClaimsList().forEach(state::putClaim);
        state.audit.addAll(snapshot.getAuditList());
        snapshot.getResultsList().forEach(state::putResult);
        snapshot.getHostsList().forEach(state::putHost);
        state.workflows =
                WorkflowRecords.of(
                        snapshot.getConfiguration(),
                        snapshot.getWorkflowsList(),
                        snapshot.getLearned(),
                        snapshot.getEarlyCancellationsList());
        return state;
    }
}
