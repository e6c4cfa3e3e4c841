package org.yuccabank.control;

import java.util.Map;
import java.util.Optional;
import org.yuccabank.model.AccountId;
import org.yuccabank.model.Resources;
import org.yuccabank.model.TaskId;
import org.yuccabank.policy.quota.FairShareQueue;
import org.yuccabank.policy.quota.QueuedTask;
import org.yuccabank.rules.Quota;
import org.yuccabank.rules.RuleSet;
import org.yuccabank.state.SystemState;
import org.yuccabank.state.generated.JobRecord;
import org.yuccabank.state.generated.TaskRecord;

/** Builds the fair-share queue of the tasks that wait for a lease. Stateless. */
final class FairShareQueueBuilder {

    /** Limits the time to build the queue when many jobs wait. Older tasks are included first. */
    private static final int MAXIMUM_QUEUED_TASKS = 5_000;

    private FairShareQueueBuilder() {}

    /**
     * Returns the waiting tasks ordered by the fair share of their accounts.
     *
     * @param state the replicated state
     * @param cluster provides the tasks with a pending grant
     * @param capacity capacity of all hosts
     * @param rules the rules in force
     * @return the queue, including the resources that each account holds
     */
    static FairShareQueue build(
            SystemState state, ClusterState cluster, Resources capacity, RuleSet rules) {
        Map<AccountId, Quota> quotas = rules.quotas();
        FairShareQueue queue = FairShareQueue.of(capacity, quotas);
        for (String taskId : state.leasedTasks()) {
            TaskRecord task = state.task(taskId).orElseThrow();
            Resources reservation = ReportedHost.toResources(task.getLease().getReservation());
            queue.allocate(account(state, task), reservation);
        }
        int waiting = 0;
        for (String taskId : state.queuedTasks()) {
            TaskRecord task = state.task(taskId).orElseThrow();
            Optional<Resources> pending = cluster.pendingReservation(taskId);
            if (pending.isPresent()) {
                queue.allocate(account(state, task), pending.get());
            } else if (waiting < MAXIMUM_QUEUED_TASKS) {
                waiting++;
                queue.submit(queuedTask(state, task));
            }
        }
        return queue;
    }

    private static QueuedTask queuedTask(SystemState state, TaskRecord task) {
        JobRecord job = state.job(task.getJobId()).orElseThrow();
        return new QueuedTask(
                TaskId.of(task.getTaskId()),
                AccountId.of(job.getAccount()),
                ReportedHost.toResources(job.getSpecification().getDeclared()),
                Math.max(1, job.getSpecification().getPriority()),
                job.getSubmittedAtMillis());
    }

    private static AccountId account(SystemState state, TaskRecord task) {
        return AccountId.of(state.job(task.getJobId()).orElseThrow().getAccount());
    }
}
