package org.yuccabank.agent.workflow;

import io.netty.channel.EventLoop;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.yuccabank.protocol.generated.WorkerIdentity;
import reactor.core.publisher.Mono;

/**
 * Requests the lists of the worker one after another, renews its lease and acknowledges its ends.
 *
 * <p>Invariants: at most one request is in progress; a renewal directly follows a list of the same
 * incarnation, as a worker that has just answered is unlikely to be replaced until it receives the
 * next call; an outcome for a former incarnation or a former term is ignored. Confined to the
 * agent's event loop; times are those of its monotonic clock.
 */
final class WorkerLists {

    /** What the agent knows of the worker, and what follows from a list. */
    interface Context {

        /** Returns the newest announcement of the worker, empty before the first one. */
        Optional<WorkerAnnouncement> worker();

        /**
         * Processes a list of the current incarnation.
         *
         * @param requestedMillis time at which the list was requested
         * @param firstOfTerm whether it is the first list that was requested in this term
         */
        void onListing(
                WorkerAnnouncement target,
                WorkerApi.ListOutcome.Listing listing,
                long requestedMillis,
                boolean firstOfTerm);

        /** Processes the failure of a request to the current incarnation. */
        void onUnavailable(WorkerIdentity identity, WorkerApi.ListOutcome outcome);
    }

    /** Maximum time for which a worker with active runs delays a list until a run ends. */
    private static final long WAIT_MILLIS = 450;

    /**
     * Pause after a list with ends that the leader has not acknowledged, as the worker answers each
     * further list immediately with the same ends. The acknowledgement ends the pause.
     */
    private static final long UNACKNOWLEDGED_PAUSE_MILLIS = 100;

    /**
     * Delay before a failed request is repeated. Short at first, as the worker may be born again
     * and accepts calls for its former incarnation until the raised fencing token has reached it.
     */
    private static final long SHORT_RETRY_MILLIS = 50;

    private static final long RETRY_MILLIS = 200;

    /** Failures after which the longer delay is used; a restart takes less than a second. */
    private static final int SHORT_RETRIES = 20;

    /** Maximum age of a list that is reported as the current state of the worker. */
    private static final long VALID_MILLIS = 1_500;

    private final WorkerApi api;
    private final EventLoop loop;
    private final DirectiveOrder order;
    private final RunTable runs;
    private final WorkerLease lease;
    private final Context context;
    private long listedTerm;
    private long listedAtMillis = Long.MIN_VALUE / 2;
    private long unsettledNumber;
    private OptionalLong answeredBorn = OptionalLong.empty();
    private boolean inProgress;
    private int failures;
    private boolean requested;
    private boolean paused;
    private boolean retryScheduled;
    private boolean stopped;

    WorkerLists(
            WorkerApi api,
            EventLoop loop,
            DirectiveOrder order,
            RunTable runs,
            WorkerLease lease,
            Context context) {
        this.api = api;
        this.loop = loop;
        this.order = order;
        this.runs = runs;
        this.lease = lease;
        this.context = context;
    }

    /** Stops further requests. */
    void stop() {
        stopped = true;
    }

    /**
     * Returns the number up to which the next incarnation may discard ends unseen, as the latest
     * acknowledgement was not answered by the one that it was meant for; 0 if there is none.
     */
    long unsettledNumber() {
        return unsettledNumber;
    }

    /** Returns whether the incarnation of an announcement has answered the latest request. */
    boolean hasAnswered(WorkerAnnouncement announcement) {
        return answeredBorn.equals(OptionalLong.of(announcement.identity().getBornMillis()))
                && context.worker().filter(announcement::hasSameIdentifier).isPresent();
    }

    /** Begins with a new incarnation, of which there is no list yet. */
    void reset() {
        answeredBorn = OptionalLong.empty();
        unsettledNumber = 0;
        listedTerm = 0;
        listedAtMillis = Long.MIN_VALUE / 2;
    }

    /** Returns the term in which the latest list was requested, 0 if there is none. */
    long listedTerm() {
        return listedTerm;
    }

    /** Returns whether the latest list is recent enough to be reported. */
    boolean isCurrent(long nowMillis) {
        return listedTerm > 0 && nowMillis - listedAtMillis < VALID_MILLIS;
    }

    /** Requests a list unless one is in progress, once a leader is known. */
    void request() {
        requested = true;
        if (!inProgress && context.worker().isPresent() && order.term() > 0 && !stopped) {
            send();
        }
    }

    /** Ends a pause if the leader has acknowledged all ends. */
    void resumeIfAcknowledged() {
        if (!runs.hasUnacknowledgedEnds()) {
            resume();
        }
    }

    private void resume() {
        if (paused) {
            paused = false;
            request();
        }
    }

    private void send() {
        inProgress = true;
        paused = false;
        boolean immediate = (requested && listedTerm != order.term()) || runs.isAbsenceExpected();
        requested = false;
        WorkerAnnouncement target = context.worker().orElseThrow();
        long waitMillis = immediate ? 0 : WAIT_MILLIS;
        call(target, api.list(target, order.fencingToken(), waitMillis), this::afterList);
    }

    private void afterList(WorkerAnnouncement target) {
        if (runs.numberToDiscard() > 0 || lease.isRenewalDue(WorkflowAgent.nowMillis())) {
            WorkerApi.FencedLease fencedLease =
                    new WorkerApi.FencedLease(
                            order.fencingToken(), lease.renew(WorkflowAgent.nowMillis()));
            long number = runs.numberToDiscard();
            unsettledNumber = Math.max(unsettledNumber, number);
            call(
                    target,
                    api.renew(target, fencedLease, number)
                            .doOnNext(outcome -> logUnsettled(target, number, outcome)),
                    renewed -> proceed());
        } else {
            proceed();
        }
    }

    private static void logUnsettled(
            WorkerAnnouncement target, long number, WorkerApi.ListOutcome outcome) {
        if (number > 0 && !(outcome instanceof WorkerApi.ListOutcome.Listing)) {
            WorkflowAgentLog.acknowledgementUnsettled(target, number, outcome);
        }
    }

    private void proceed() {
        inProgress = false;
        if (runs.hasUnacknowledgedEnds()) {
            paused = true;
            schedule(this::resume, UNACKNOWLEDGED_PAUSE_MILLIS);
        } else {
            request();
        }
    }

    private void call(
            WorkerAnnouncement target,
            Mono<WorkerApi.ListOutcome> response,
            Consumer<WorkerAnnouncement> next) {
        long requestedMillis = WorkflowAgent.nowMillis();
        long term = order.term();
        response.subscribe(
                outcome ->
                        loop.execute(
                                () -> onOutcome(target, term, requestedMillis, outcome, next)));
    }

    private void onOutcome(
            WorkerAnnouncement target,
            long term,
            long requestedMillis,
            WorkerApi.ListOutcome outcome,
            Consumer<WorkerAnnouncement> next) {
        WorkerIdentity identity = target.identity();
        boolean current =
                context.worker().map(each -> each.identity().equals(identity)).orElse(false);
        if (!current || term != order.term()) {
            inProgress = false;
            request();
        } else if (outcome instanceof WorkerApi.ListOutcome.Listing listing) {
            boolean firstOfTerm = listedTerm != term;
            failures = 0;
            answeredBorn = OptionalLong.empty();
            unsettledNumber = 0;
            listedTerm = term;
            listedAtMillis = WorkflowAgent.nowMillis();
            context.onListing(target, listing, requestedMillis, firstOfTerm);
            next.accept(target);
        } else {
            inProgress = false;
            answeredBorn =
                    outcome instanceof WorkerApi.ListOutcome.OtherIncarnation other
                            ? OptionalLong.of(other.bornMillis())
                            : OptionalLong.empty();
            context.onUnavailable(identity, outcome);
            scheduleRetry();
        }
    }

    /** Schedules a retry unless there is one already, as others may request lists meanwhile. */
    private void scheduleRetry() {
        if (retryScheduled) {
            return;
        }
        retryScheduled = true;
        schedule(
                () -> {
                    retryScheduled = false;
                    request();
                },
                ++failures <= SHORT_RETRIES ? SHORT_RETRY_MILLIS : RETRY_MILLIS);
    }

    private void schedule(Runnable action, long delayMillis) {
        var unused = loop.schedule(action, delayMillis, TimeUnit.MILLISECONDS);
    }
}
