package org.yuccabank.state;

import java.util.List;
import java.util.Optional;
import org.yuccabank.protocol.generated.CheckpointConfirmed;
import org.yuccabank.protocol.generated.CommandResult;
import org.yuccabank.protocol.generated.CommandResult.Verdict;
import org.yuccabank.protocol.generated.LeaseGranted;
import org.yuccabank.protocol.generated.SubmitJob;
import org.yuccabank.protocol.generated.TaskEnded;
import org.yuccabank.protocol.generated.TaskPhase;
import org.yuccabank.state.generated.JobPhase;
import org.yuccabank.state.generated.JobRecord;
import org.yuccabank.state.generated.LeaseRecord;
import org.yuccabank.state.generated.TaskRecord;
import org.yuccabank.state.generated.TaskRecordPhase;

/**
 * Applies the commands for jobs, their tasks and the leases of the tasks.
 *
 * <p>Invariants: a lease is granted only to a task without one; the end of a task is accepted only
 * with the fencing token of its current lease; the checkpoint generation of a task never decreases.
 */
final class JobCommands {

    /** Maximum number of tasks in a job, so that a single job cannot fill the state. */
    static final int MAXIMUM_TASKS = 1_000;

    /**
     * A task that failed on this many different hosts is parked, as the task itself is the likely
     * cause.
     */
    static final int MAXIMUM_FAILED_HOSTS = 3;

    private JobCommands() {}

    static CommandResult submit(
            SystemState state, SubmitJob command, String account, long index, long nowMillis) {
        int taskCount = Math.max(1, command.getTaskCount());
        if (taskCount > MAXIMUM_TASKS) {
            return CommandResults.of(
                    Verdict.REJECTED,
                    "a job has at most " + MAXIMUM_TASKS + " tasks, not " + taskCount);
        }
        String jobId = "job-" + index;
        state.putJob(
                JobRecord.newBuilder()
                        .setJobId(jobId)
                        .setAccount(account)
                        .setSpecification(command.toBuilder().setTaskCount(taskCount))
                        .setSubmittedAtMillis(nowMillis)
                        .setPhase(JobPhase.JOB_ACTIVE)
                        .build());
        for (int number = 0; number < taskCount; number++) {
            state.putTask(
                    TaskRecord.newBuilder()
                            .setTaskId(jobId + "." + number)
                            .setJobId(jobId)
                            .setPhase(TaskRecordPhase.TASK_QUEUED)
                            .setQueuedAtMillis(nowMillis)
                            .build());
        }
        return CommandResults.accepted(index).toBuilder().setIdentifier(jobId).build();
    }

    static CommandResult cancel(
            SystemState state,
            String jobId,
            String account,
            boolean operator,
            CommandContext context) {
        Optional<JobRecord> found = state.job(jobId);
        if (found.isEmpty() || (!operator && !found.get().getAccount().equals(account))) {
            // The job of another account must be indistinguishable from one that does not exist.
            return CommandResults.of(Verdict.NOT_FOUND, "no job " + jobId);
        }
        JobRecord job = found.get();
        if (job.getPhase() != JobPhase.JOB_ACTIVE) {
            return CommandResults.of(Verdict.CONFLICT, "the job has ended");
        }
        state.putJob(job.toBuilder().setCancelRequested(true).build());
        for (TaskRecord task : state.tasksOfJob(jobId)) {
            if (task.getPhase() == TaskRecordPhase.TASK_QUEUED) {
                endTask(state, task, TaskRecordPhase.TASK_CANCELLED, context);
            }
        }
        return CommandResults.accepted(context.index());
    }

    static CommandResult grantLease(SystemState state, LeaseGranted grant, CommandContext context) {
        Optional<TaskRecord> found = state.task(grant.getTaskId());
        if (found.isEmpty() || found.get().getPhase() != TaskRecordPhase.TASK_QUEUED) {
            return CommandResults.of(Verdict.CONFLICT, "the task does not wait for a lease");
        }
        TaskRecord task = found.get();
        LeaseRecord lease =
                LeaseRecord.newBuilder()
                        .setHostId(grant.getHostId())
                        .setFencingToken(context.index())
                        .setIncarnation(grant.getIncarnation())
                        .setReservation(grant.getReservation())
                        .setLeaseMillis(grant.getLeaseMillis())
                        .setGrantedAtMillis(context.nowMillis())
                        .build();
        state.putTask(
                task.toBuilder()
                        .setPhase(TaskRecordPhase.TASK_LEASED)
                        .setLease(lease)
                        .setStarts(task.getStarts() + 1)
                        .build());
        return CommandResults.accepted(context.index()).toBuilder()
                .setFencingToken(context.index())
                .build();
    }

    static CommandResult confirmCheckpoint(
            SystemState state, CheckpointConfirmed checkpoint, CommandContext context) {
        Optional<TaskRecord> found =
                findLeased(state, checkpoint.getTaskId(), checkpoint.getFencingToken());
        if (found.isEmpty()) {
            return CommandResults.of(Verdict.CONFLICT, "the lease has ended");
        }
        TaskRecord task = found.get();
        if (checkpoint.getGeneration() > task.getCheckpointGeneration()) {
            state.putTask(
                    task.toBuilder()
                            .setCheckpointGeneration(checkpoint.getGeneration())
                            .setProgress(checkpoint.getProgress())
                            .build());
        }
        return CommandResults.accepted(context.index());
    }

    static CommandResult end(SystemState state, TaskEnded ended, CommandContext context) {
        Optional<TaskRecord> found = findLeased(state, ended.getTaskId(), ended.getFencingToken());
        if (found.isEmpty()) {
            return CommandResults.of(Verdict.CONFLICT, "the lease has ended");
        }
        TaskRecord task = found.get();
        boolean cancelled = state.job(task.getJobId()).orElseThrow().getCancelRequested();
        if (ended.getPhase() == TaskPhase.TASK_FINISHED) {
            endTask(
                    state,
                    task.toBuilder().setProgress(1).build(),
                    TaskRecordPhase.TASK_DONE,
                    context);
        } else if (cancelled) {
            endTask(state, task, TaskRecordPhase.TASK_CANCELLED, context);
        } else if (ended.getPhase() == TaskPhase.TASK_FAILED) {
            fail(state, task, context);
        } else if (ended.getPhase() == TaskPhase.TASK_REFUSED) {
            requeue(state, task, context);
        } else {
            requeue(state, task.toBuilder().setEvictions(task.getEvictions() + 1).build(), context);
        }
        return CommandResults.accepted(context.index());
    }

    private static void fail(SystemState state, TaskRecord task, CommandContext context) {
        String host = task.getLease().getHostId();
        TaskRecord failed =
                task.getFailedHostsList().contains(host)
                        ? task
                        : task.toBuilder().addFailedHosts(host).build();
        if (failed.getFailedHostsCount() >= MAXIMUM_FAILED_HOSTS) {
            endTask(state, failed, TaskRecordPhase.TASK_PARKED, context);
        } else {
            requeue(state, failed, context);
        }
    }

    private static void requeue(SystemState state, TaskRecord task, CommandContext context) {
        state.putTask(
                task.toBuilder()
                        .setPhase(TaskRecordPhase.TASK_QUEUED)
                        .clearLease()
                        .setQueuedAtMillis(context.nowMillis())
                        .build());
    }

    private static void endTask(
            SystemState state, TaskRecord task, TaskRecordPhase phase, CommandContext context) {
        state.putTask(task.toBuilder().setPhase(phase).clearLease().build());
        JobRecord job = state.job(task.getJobId()).orElseThrow();
        int finished = job.getFinishedTasks() + (phase == TaskRecordPhase.TASK_DONE ? 1 : 0);
        JobRecord.Builder updated =
                job.toBuilder().setFinishedTasks(finished).setEndedTasks(job.getEndedTasks() + 1);
        if (updated.getEndedTasks() == job.getSpecification().getTaskCount()) {
            updated.setPhase(finalPhase(state.tasksOfJob(job.getJobId())))
                    .setEndedAtMillis(context.nowMillis());
        }
        if (phase == TaskRecordPhase.TASK_PARKED) {
            updated.setReason("failed on hosts " + String.join(", ", task.getFailedHostsList()));
        }
        state.putJob(updated.build());
    }

    private static JobPhase finalPhase(List<TaskRecord> tasks) {
        if (tasks.stream().anyMatch(task -> task.getPhase() == TaskRecordPhase.TASK_PARKED)) {
            return JobPhase.JOB_PARKED;
        }
        boolean cancelled =
                tasks.stream().anyMatch(task -> task.getPhase() == TaskRecordPhase.TASK_CANCELLED);
        return cancelled ? JobPhase.JOB_CANCELLED : JobPhase.JOB_FINISHED;
    }

    private static Optional<TaskRecord> findLeased(SystemState state, String taskId, long token) {
        return state.task(taskId)
                .filter(task -> task.getPhase() == TaskRecordPhase.TASK_LEASED)
                .filter(task -> task.getLease().getFencingToken() == token);
    }
}
