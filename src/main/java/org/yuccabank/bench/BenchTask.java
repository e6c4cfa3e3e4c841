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
    final double memoryMebibytes;

    /** Hidden: run time without slowdown. */
    final double workMillis;

    /** Hidden: fails on every host. */
    final boolean broken;

    /** Hidden: work that the newest complete checkpoint holds. */
    double savedMillis;

    /** Hidden: executions in progress; more than one is a double run. */
    int executions;

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
            Truth truth,
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
        this.cores = truth.cores();
        this.memoryMebibytes = truth.memoryMebibytes();
        this.workMillis = truth.workMillis();
        this.broken = truth.broken();
    }

    /** What the owner does not know. */
    record Truth(double cores, double memoryMebibytes, double workMillis, boolean broken) {}

    boolean urgent() {
        return profile.urgent();
    }

    boolean checkpointable() {
        return profile.checkpointMillis() > 0;
    }

    /** Processor time that the whole task needs, in core-milliseconds. */
    double work() {
        return workMillis * cores;
    }
}
