package org.yuccabank.bench;

import org.yuccabank.model.AccountId;
import org.yuccabank.model.JobId;
import org.yuccabank.model.Resources;
import org.yuccabank.model.TaskId;

/**
 * One task of the load: what its owner declared and what it truly needs. The fields marked hidden
 * are read by the fakes only. Not thread-safe.
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

    /** Hidden: processors that the task uses if it may. */
    final double cores;

    /** Hidden: greatest memory, reached after half of the work. */
    final double peakMemoryMebibytes;

    /** Hidden: run time without slowdown. */
    final double workMillis;

    /** Hidden: fails on every host. */
    final boolean alwaysFails;

    /** Hidden: work that the newest complete checkpoint holds. */
    double checkpointedMillis;

    /** Hidden: executions in progress; more than one is a double run. */
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

    /** What the owner does not know. */
    record ActualDemand(
            double cores, double peakMemoryMebibytes, double workMillis, boolean alwaysFails) {}

    boolean urgent() {
        return profile.urgent();
    }

    boolean checkpointable() {
        return profile.checkpointDurationMillis() > 0;
    }

    /** Processor time that the whole task needs, in core-milliseconds. */
    double totalCoreMillis() {
        return workMillis * cores;
    }
}
