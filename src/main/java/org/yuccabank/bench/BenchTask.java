package org.yuccabank.bench;

import org.yuccabank.model.AccountId;
import org.yuccabank.model.JobId;
import org.yuccabank.model.Resources;
import org.yuccabank.model.TaskId;

/**
 * Task of the workload with its declared and its actual demand. Fields marked as hidden are read
 * only by the simulated hosts and the measurements, never by a policy. Not thread-safe.
 */
final class BenchTask {

    final TaskId id;
    final JobId job;
    final AccountId account;
    final int team;
    final int kind;
    final KindProfile profile;
    final Resources declared;
    final long submittedMillis;

    /** Hidden: processors that the task uses if it is not limited. */
    final double cores;

    /** Hidden: peak memory, reached when half of the work is done. */
    final double peakMemoryMebibytes;

    /** Hidden: run time without slowdown. */
    final double workMillis;

    /** Hidden: whether the task fails on every host. */
    final boolean alwaysFails;

    /** Hidden: progress saved in the latest complete checkpoint. */
    double checkpointedMillis;

    /** Hidden: executions in progress; more than one is a duplicate run. */
    int activeExecutions;

    boolean finished;
    boolean cancelled;
    boolean started;

    BenchTask(
            String id,
            JobId job,
            AccountId account,
            int team,
            int kind,
            KindProfile profile,
            ActualDemand actual,
            Resources declared,
            long submittedMillis) {
        this.id = TaskId.of(id);
        this.job = job;
        this.account = account;
        this.team = team;
        this.kind = kind;
        this.profile = profile;
        this.declared = declared;
        this.submittedMillis = submittedMillis;
        this.cores = actual.cores();
        this.peakMemoryMebibytes = actual.peakMemoryMebibytes();
        this.workMillis = actual.workMillis();
        this.alwaysFails = actual.alwaysFails();
    }

    /** Actual demand, unknown to the owner of the task. */
    record ActualDemand(
            double cores, double peakMemoryMebibytes, double workMillis, boolean alwaysFails) {}

    boolean urgent() {
        return profile.urgent();
    }

    boolean checkpointable() {
        return profile.checkpointDurationMillis() > 0;
    }

    /** Returns the processor time of the whole task in core-milliseconds. */
    double totalCoreMillis() {
        return workMillis * cores;
    }
}
