package org.yuccabank.agent.workflow;

import io.netty.channel.EventLoop;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import org.yuccabank.protocol.generated.StartRun;

/**
 * Sends the starts and stops of runs to the worker and follows up on their outcomes.
 *
 * <p>Invariants: no start exceeds the capacity that the worker has announced, and none is sent once
 * the worker has announced that it drains, however long the start has waited; at most one call of a
 * run is in progress; the outcome of an unanswered call follows from the worker's list, never from
 * the answer to a later call. Confined to the agent's event loop.
 */
final class RunCalls {

    /** State of the agent that the calls depend on, and the requests that follow from them. */
    interface Context {

        /** Returns the newest announcement of the worker, empty before the first one. */
        Optional<WorkerAnnouncement> worker();

        /** Returns the time at which the newest announcement was received. */
        long announcedAtMillis();

        /** Returns the time at which the incarnation of the worker was accepted. */
        long joinedAtMillis();

        /** Returns the fencing token of the leader, 0 if it is unknown. */
        long fencingToken();

        /** Requests a report to the leader. */
        void requestReport();

        /** Requests a list of the worker's runs. */
        void requestList();
    }

    /** Number of unanswered start calls after which a run is stopped instead. */
    private static final int MAXIMUM_START_ATTEMPTS = 8;

    /** Time for which members of gangs wait for the end of a trial run, which takes some 50 ms. */
    private static final long MAXIMUM_TRIAL_MILLIS = 1_000;

    private static final long CALL_RETRY_MILLIS = 150;
    private static final long STOP_RETRY_MILLIS = 500;

    private final WorkerApi api;
    private final EventLoop loop;
    private final WorkerLease lease;
    private final RunTable runs;
    private final long maximumAnnouncementAgeMillis;
    private final Context context;

    RunCalls(
            WorkerApi api,
            EventLoop loop,
            WorkerLease lease,
            RunTable runs,
            long maximumAnnouncementAgeMillis,
            Context context) {
        this.api = api;
        this.loop = loop;
        this.lease = lease;
        this.runs = runs;
        this.maximumAnnouncementAgeMillis = maximumAnnouncementAgeMillis;
        this.context = context;
    }

    /**
     * Sends the next call that a run requires, unless one is in progress. Does nothing for a run of
     * an earlier incarnation, whose delayed start another one would carry out.
     */
    void advance(RunEntry entry) {
        boolean superseded = runs.entry(entry.run()).filter(each -> each == entry).isEmpty();
        if (superseded
                || entry.isCallInProgress()
                || context.worker().isEmpty()
                || context.fencingToken() == 0) {
            return;
        }
        switch (entry.stage()) {
            case STARTING -> {
                if (entry.isStopRequested()) {
                    sendStop(entry);
                } else if (entry.isIdentificationRequired()) {
                    identify(entry);
                } else {
                    tryStart(entry);
                }
            }
            case UNCERTAIN -> sendStop(entry);
            case STARTED, AWAITING_ABSENCE -> {
                if (entry.isStopRequested()) {
                    sendStop(entry);
                }
            }
            default -> {
                // An ended run requires no call.
            }
        }
    }

    /** Sends the start of a run if it keeps to the capacity of the worker, which must not drain. */
    private void tryStart(RunEntry entry) {
        long now = WorkflowAgent.nowMillis();
        WorkerAnnouncement announced = context.worker().orElseThrow();
        if (announced.draining()) {
            giveUpStart(entry, "the worker drains");
            return;
        }
        if (runs.mayDiscardEnds() && !isTrialAdmitted(entry, now)) {
            if (entry.defer()) {
                WorkflowAgentLog.unsettledCall(entry, "start waits until the worker lists an end");
            }
            return;
        }
        switch (StartAdmission.decide(
                entry, runs.entries(), announced.capacity(), isAnnouncementCurrent(now))) {
            case ADMITTED -> sendStart(entry);
            case DEFERRED -> {
                if (entry.defer()) {
                    WorkflowAgentLog.unsettledCall(
                            entry, "start waits until the free capacity is known");
                }
            }
            default -> giveUpStart(entry, "the capacity of the worker has shrunk");
        }
    }

    /**
     * Returns whether a run may start on a worker that may discard ends. The end of a run that is
     * stopped at once may be lost, as the task can start again, and shows whether the worker lists
     * ends; so one such run at a time is admitted. A member of a gang is none, as its gang would
     * fail without it, and does not wait for long.
     */
    private boolean isTrialAdmitted(RunEntry entry, long now) {
        if (entry.isTrial()) {
            return true;
        }
        if (entry.startRequest().map(StartRun::getGang).orElse(false)) {
            return now - context.joinedAtMillis() > MAXIMUM_TRIAL_MILLIS;
        }
        if (runs.hasTrial()) {
            return false;
        }
        entry.markTrial();
        return true;
    }

    /**
     * Returns whether the newest announcement was both sent and received recently. An announcement
     * that was received late is recognised by the worker's clock.
     */
    private boolean isAnnouncementCurrent(long now) {
        long sentAgo =
                lease.workerClock(now).orElse(Long.MAX_VALUE)
                        - context.worker().orElseThrow().clockMillis();
        return Math.max(sentAgo, now - context.announcedAtMillis()) <= maximumAnnouncementAgeMillis;
    }

    /** Gives up a start, or stops the run if the worker may have received an earlier start call. */
    private void giveUpStart(RunEntry entry, String reason) {
        WorkflowAgentLog.unsettledCall(entry, "start given up: " + reason);
        if (entry.isStartSent()) {
            entry.setStage(RunEntry.Stage.UNCERTAIN);
            sendStop(entry);
        } else {
            entry.recordWithoutCapacity(reason);
            context.requestReport();
        }
    }

    private void sendStart(RunEntry entry) {
        OptionalLong leaseEnd = lease.renew(WorkflowAgent.nowMillis());
        if (leaseEnd.isEmpty()) {
            return;
        }
        entry.setCallInProgress(true);
        entry.beginStart();
        WorkerAnnouncement target = context.worker().orElseThrow();
        long token = context.fencingToken();
        WorkflowAgentLog.startSent(entry, target, token, leaseEnd);
        api.start(
                        target,
                        entry.startRequest().orElseThrow(),
                        new WorkerApi.FencedLease(token, leaseEnd))
                .subscribe(
                        outcome ->
                                loop.execute(() -> onStartOutcome(entry, target, token, outcome)));
    }

    private void onStartOutcome(
            RunEntry entry, WorkerAnnouncement target, long token, WorkerApi.CallOutcome outcome) {
        entry.setCallInProgress(false);
        entry.endStart(outcome instanceof WorkerApi.CallOutcome.Unanswered);
        WorkflowAgentLog.startAnswered(entry, target, outcome);
        if (!isCurrent(entry, target) || entry.stage() != RunEntry.Stage.STARTING) {
            return;
        }
        if (outcome instanceof WorkerApi.CallOutcome.Done) {
            entry.setStage(RunEntry.Stage.STARTED);
            runs.recordAnswer(List.of(entry.run()), WorkflowAgent.nowMillis());
            if (entry.isTrial()) {
                entry.requestStop();
            }
        } else if (outcome instanceof WorkerApi.CallOutcome.Refused refused
                && !(refused.refusal() == WorkerApi.Refusal.FENCED
                        && token < context.fencingToken())) {
            onStartRefused(entry, refused.refusal());
        } else {
            // A call whose token has been raised since is repeated with the new one.
            onStartUnanswered(entry, outcome.toString());
        }
        advance(entry);
    }

    /**
     * Repeats a start once the worker has confirmed that it is still the same incarnation. The next
     * one would carry it out as if it were meant for it.
     */
    private void identify(RunEntry entry) {
        WorkerAnnouncement target = context.worker().orElseThrow();
        entry.setCallInProgress(true);
        api.identify(target, context.fencingToken())
                .subscribe(
                        identification ->
                                loop.execute(() -> onIdentified(entry, target, identification)));
    }

    private void onIdentified(
            RunEntry entry, WorkerAnnouncement target, WorkerApi.Identification identification) {
        entry.setCallInProgress(false);
        if (!isCurrent(entry, target)) {
            return;
        }
        if (identification == WorkerApi.Identification.CONFIRMED) {
            entry.requireIdentification(false);
            advance(entry);
        } else {
            scheduleAdvance(entry);
        }
    }

    private void scheduleAdvance(RunEntry entry) {
        var unused = loop.schedule(() -> advance(entry), CALL_RETRY_MILLIS, TimeUnit.MILLISECONDS);
    }

    private boolean isCurrent(RunEntry entry, WorkerAnnouncement target) {
        boolean sameWorker =
                context.worker()
                        .map(each -> each.identity().equals(target.identity()))
                        .orElse(false);
        return sameWorker && runs.entry(entry.run()).filter(each -> each == entry).isPresent();
    }

    private void onStartRefused(RunEntry entry, WorkerApi.Refusal refusal) {
        WorkflowAgentLog.unsettledCall(entry, "start refused: " + refusal);
        switch (refusal) {
            case LATE -> scheduleAdvance(entry);
            case OUTDATED -> entry.recordOutdated(WorkflowAgent.nowMillis());
            case OTHER_INCARNATION -> recordRefused(entry, refusal);
            default -> {
                if (entry.isStartUncertain()) {
                    entry.setStage(RunEntry.Stage.UNCERTAIN);
                } else {
                    recordRefused(entry, refusal);
                }
            }
        }
    }

    private void recordRefused(RunEntry entry, WorkerApi.Refusal refusal) {
        entry.recordNotStarted(refusal.toString());
        context.requestReport();
    }

    private void onStartUnanswered(RunEntry entry, String detail) {
        WorkflowAgentLog.unsettledCall(entry, "start not answered: " + detail);
        entry.requireIdentification(true);
        if (entry.countStartAttempt() >= MAXIMUM_START_ATTEMPTS) {
            entry.setStage(RunEntry.Stage.UNCERTAIN);
        }
    }

    private void sendStop(RunEntry entry) {
        if (!entry.isStopDue(WorkflowAgent.nowMillis(), STOP_RETRY_MILLIS)) {
            return;
        }
        entry.setCallInProgress(true);
        entry.recordStopSent(WorkflowAgent.nowMillis());
        WorkerAnnouncement target = context.worker().orElseThrow();
        WorkflowAgentLog.stopSent(entry, target, context.fencingToken());
        api.stop(target, entry.run(), context.fencingToken())
                .subscribe(outcome -> loop.execute(() -> onStopOutcome(entry, target, outcome)));
    }

    private void onStopOutcome(
            RunEntry entry, WorkerAnnouncement target, WorkerApi.CallOutcome outcome) {
        entry.setCallInProgress(false);
        WorkflowAgentLog.stopAnswered(entry, target, outcome);
        if (!isCurrent(entry, target) || entry.stage() == RunEntry.Stage.ENDED) {
            return;
        }
        if (outcome instanceof WorkerApi.CallOutcome.Done) {
            entry.awaitAbsence(WorkflowAgent.nowMillis());
            context.requestList();
        } else {
            WorkflowAgentLog.unsettledCall(entry, "stop: " + outcome);
        }
    }
}
