package org.yuccabank.agent.workflow;

import java.util.List;
import java.util.OptionalLong;
import org.yuccabank.protocol.generated.ActiveRun;
import org.yuccabank.protocol.generated.EndedRun;
import org.yuccabank.protocol.generated.RunAddress;
import org.yuccabank.protocol.generated.StartRun;
import reactor.core.publisher.Mono;

/**
 * The worker as the agent uses it. An implementation translates and decides nothing; each call is
 * sent once and always completes with an outcome, never with an error.
 */
public interface WorkerApi {

    /**
     * Starts a run. Repeating the call for a run that is there changes nothing.
     *
     * @param worker the incarnation that is meant
     * @param startRequest what to start
     * @param fencedLease what orders the call against those of other leaders
     * @return what became of the call
     */
    Mono<CallOutcome> start(
            WorkerAnnouncement worker, StartRun startRequest, FencedLease fencedLease);

    /**
     * Stops a run, and keeps it from starting later if it is not there.
     *
     * @param worker the incarnation that is meant
     * @param run the run
     * @param token fencing token
     * @return what became of the call
     */
    Mono<CallOutcome> stop(WorkerAnnouncement worker, RunAddress run, long token);

    /**
     * Changes the speed of a run.
     *
     * @param worker the incarnation that is meant
     * @param run the run
     * @param percent share of its full speed, 0 to 100
     * @param token fencing token
     * @return what became of the call
     */
    Mono<CallOutcome> setSpeed(WorkerAnnouncement worker, RunAddress run, int percent, long token);

    /**
     * Lists all runs, renews the lease and confirms ends.
     *
     * @param worker the incarnation that is meant
     * @param fencedLease fencing token and lease
     * @param acknowledgedNumber ends up to this number may be forgotten
     * @param waitMillis how long the worker may wait for an end before it answers
     * @return the listing or why there is none
     */
    Mono<ListOutcome> list(
            WorkerAnnouncement worker,
            FencedLease fencedLease,
            long acknowledgedNumber,
            long waitMillis);

    /**
     * What orders a call against those of other leaders. Immutable.
     *
     * @param token the leader's term
     * @param leaseEndMillis end of the lease on the worker's clock, empty to leave it unchanged
     */
    record FencedLease(long token, OptionalLong leaseEndMillis) {}

    /** What became of an order. */
    sealed interface CallOutcome {

        /**
         * The worker has carried it out.
         *
         * @param clockMillis the worker's clock, empty if it did not tell
         */
        record Done(OptionalLong clockMillis) implements CallOutcome {}

        /**
         * The worker has done nothing.
         *
         * @param refusal why
         */
        record Refused(Refusal refusal) implements CallOutcome {}

        /**
         * The worker may carry it out or not, now or later.
         *
         * @param detail what was seen
         */
        record Unanswered(String detail) implements CallOutcome {}
    }

    /** Why a worker did nothing. */
    enum Refusal {
        /** A leader of a later term has spoken to the worker. */
        FENCED,
        /** The run, or a later one of the task, has been there or was stopped. */
        OUTDATED,
        /** The lease in the order is over. */
        LATE,
        /** There is no room. */
        NO_ROOM,
        /** The worker is not healthy or not in service. */
        UNHEALTHY,
        /** Another incarnation answered. */
        OTHER_INCARNATION,
        /** The worker does not accept the order. */
        INVALID
    }

    /** What became of a request for the list. */
    sealed interface ListOutcome {

        /**
         * The list.
         *
         * @param clockMillis the worker's clock when it answered
         * @param active all runs that are there
         * @param ended the ends that are not acknowledged, by number
         */
        record Listing(long clockMillis, List<ActiveRun> active, List<EndedRun> ended)
                implements ListOutcome {}

        /**
         * There is no list.
         *
         * @param detail what was seen
         */
        record Unavailable(String detail) implements ListOutcome {}
    }
}
