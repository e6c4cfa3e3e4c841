package org.yuccabank.bench.routing;

import org.yuccabank.model.Outcome;
import org.yuccabank.policy.routing.Attempts;
import org.yuccabank.policy.routing.Deadline;

/** One request of a caller, with what the fakes recorded of it. Mutable. */
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

    Request(RequestKind kind, int account, long serviceMicros, long sentByClientMicros) {
        this.kind = kind;
        this.account = account;
        this.serviceMicros = serviceMicros;
        this.sentAtMicros = sentByClientMicros;
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

    /** What the caller was told, null while it waits. */
    Outcome reportedOutcome() {
        return reportedOutcome;
    }

    void reportOutcome(Outcome outcome) {
        reportedOutcome = outcome;
    }
}
