package org.yuccabank.bench.routing;

import org.yuccabank.model.Outcome;
import org.yuccabank.policy.routing.Attempts;
import org.yuccabank.policy.routing.Deadline;

/** Request of a caller with its attempts, runs and reported outcome. Mutable. */
final class Request {

    private final RequestKind kind;
    private final int account;
    private final long serviceMicros;
    private final long sentAtMicros;
    private Deadline deadline = Deadline.none();
    private Attempts attempts = Attempts.none();
    private int inProgress;
    private boolean hedged;
    private int runCount;
    private Outcome reportedOutcome;

    Request(RequestKind kind, int account, long serviceMicros, long sentAtMicros) {
        this.kind = kind;
        this.account = account;
        this.serviceMicros = serviceMicros;
        this.sentAtMicros = sentAtMicros;
    }

    RequestKind kind() {
        return kind;
    }

    int account() {
        return account;
    }

    long serviceMicros() {
        return serviceMicros;
    }

    long sentAtMicros() {
        return sentAtMicros;
    }

    Deadline deadline() {
        return deadline;
    }

    void deadline(Deadline newDeadline) {
        deadline = newDeadline;
    }

    Attempts attempts() {
        return attempts;
    }

    void attempts(Attempts newAttempts) {
        attempts = newAttempts;
    }

    int inProgress() {
        return inProgress;
    }

    void addInProgress(int difference) {
        inProgress += difference;
    }

    boolean isHedged() {
        return hedged;
    }

    void markHedged() {
        hedged = true;
    }

    int runCount() {
        return runCount;
    }

    void recordRun() {
        runCount++;
    }

    /** Returns the outcome reported to the caller, null while it waits. */
    Outcome reportedOutcome() {
        return reportedOutcome;
    }

    void reportOutcome(Outcome outcome) {
        reportedOutcome = outcome;
    }
}
