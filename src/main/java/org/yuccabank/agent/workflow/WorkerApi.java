package org.yuccabank.agent.workflow;

import java.util.List;
import java.util.OptionalLong;
import org.yuccabank.protocol.generated.ActiveRun;
import org.yuccabank.protocol.generated.EndedRun;
import org.yuccabank.protocol.generated.RunAddress;
import org.yuccabank.protocol.generated.StartRun;
import reactor.core.publisher.Mono;

/**
 * The worker's API as used by the agent. Implementations only translate calls; each call is sent
 * once and always completes with an outcome, never with an error.
 */
public interface WorkerApi {

    /**
     * Asks the worker for its identity. Changes nothing at the worker.
     *
     * @param worker the incarnation that an announcement names
     * @param token fencing token
     * @return whether the worker is this incarnation
     */
    Mono<Identification> identify(WorkerAnnouncement worker, long token);

    /** Whether a worker is the incarnation that an announcement names. */
    enum Identification {
        /** The worker is this incarnation. */
        CONFIRMED,
        /**
         * The worker has the identifier that the announcement names and has received a call with a
         * higher token, so its incarnation is unknown.
         */
        FENCED,
        /** The worker is another one, so the announcement is not its own. */
        DENIED,
        /** The worker has not answered. */
        UNKNOWN
    }

    /**
     * Starts a run. Idempotent for a run that exists.
     *
     * @param worker the addressed incarnation
     * @param startRequest the run to start
     * @param fencedLease fencing token and lease
     * @return the outcome of the call
     */
    Mono<CallOutcome> start(
            WorkerAnnouncement worker, StartRun startRequest, FencedLease fencedLease);

    /**
     * Stops a run, or prevents it from starting later if it does not exist.
     *
     * @param worker the addressed incarnation
     * @param run the run
     * @param token fencing token
     * @return the outcome of the call
     */
    Mono<CallOutcome> stop(WorkerAnnouncement worker, RunAddress run, long token);

    /**
     * Changes the speed of a run.
     *
     * @param worker the addressed incarnation
     * @param run the run
     * @param percent percentage of its full speed, 0 to 100
     * @param token fencing token
     * @return the outcome of the call
     */
    Mono<CallOutcome> setSpeed(WorkerAnnouncement worker, RunAddress run, int percent, long token);

    /**
     * Lists all runs. Changes nothing at the worker, as the answer may take long and the worker may
     * start again under its identifier meanwhile.
     *
     * @param worker the addressed incarnation
     * @param token fencing token
     * @param waitMillis maximum time for which the worker may delay the answer until a run ends
     * @return the list, or the reason why it is unavailable
     */
    Mono<ListOutcome> list(WorkerAnnouncement worker, long token, long waitMillis);

    /**
     * Renews the lease, acknowledges ends and lists all runs, without delay. Lease and
     * acknowledgement are sent only over a connection whose latest answer came from this
     * incarnation, as the next one would take them for its own; over any other connection the call
     * only lists.
     *
     * @param worker the addressed incarnation, which should just have answered a list
     * @param fencedLease fencing token and lease
     * @param acknowledgedNumber number up to which the worker may discard ends
     * @return the list, or the reason why it is unavailable
     */
    Mono<ListOutcome> renew(
            WorkerAnnouncement worker, FencedLease fencedLease, long acknowledgedNumber);

    /**
     * Fencing token and lease of a call. The token orders the call relative to those of other
     * leaders, and to those for earlier incarnations of the worker. Immutable.
     *
     * @param token the token that the leader has sent for this incarnation, or a raised one
     * @param leaseEndMillis end of the lease on the worker's clock, empty to leave it unchanged
     */
    record FencedLease(long token, OptionalLong leaseEndMillis) {}

    /** The outcome of a call. */
    sealed interface CallOutcome {

        /**
         * The worker has executed the call.
         *
         * @param clockMillis the worker's clock, empty if the answer did not contain it
         */
        record Done(OptionalLong clockMillis) implements CallOutcome {}

        /**
         * The worker has refused the call, which had no effect.
         *
         * @param refusal the reason
         */
        record Refused(Refusal refusal) implements CallOutcome {}

        /**
         * There is no valid answer; the worker may have executed the call or may do so later.
         *
         * @param detail description of the failure
         */
        record Unanswered(String detail) implements CallOutcome {}

        /**
         * No connection to the worker could be opened, so it has not received the call.
         *
         * @param detail description of the failure
         */
        record Unsent(String detail) implements CallOutcome {}
    }

    /** The reason for a refusal. */
    enum Refusal {
        /** The worker has received a call with a higher token. */
        FENCED,
        /** The run, or a later run of the same task, existed before or was stopped. */
        OUTDATED,
        /** The lease of the call has expired. */
        LATE,
        /** The worker has insufficient free capacity. */
        NO_ROOM,
        /** The worker is not healthy or not in service. */
        UNHEALTHY,
        /** Another incarnation answered. */
        OTHER_INCARNATION,
        /** The worker rejects the call as invalid. */
        INVALID
    }

    /** The outcome of a list request. */
    sealed interface ListOutcome {

        /**
         * The worker has returned the list.
         *
         * @param clockMillis the worker's clock when it answered
         * @param active all active runs
         * @param ended the unacknowledged ends, ordered by number
         * @param complete whether these are all runs and ends; if not, the absence of one proves
         *     nothing
         */
        record Listing(
                long clockMillis, List<ActiveRun> active, List<EndedRun> ended, boolean complete)
                implements ListOutcome {}

        /**
         * The request has failed.
         *
         * @param detail description of the failure
         */
        record Unavailable(String detail) implements ListOutcome {}

        /**
         * Another incarnation with the same identifier has answered.
         *
         * @param bornMillis its time of birth
         */
        record OtherIncarnation(long bornMillis) implements ListOutcome {}

        /** The worker has received a call with a higher fencing token. */
        record Fenced() implements ListOutcome {}

        /**
         * The host of the worker has refused the connection, as no process listens at its address.
         *
         * @param detail description of the failure
         */
        record NotListening(String detail) implements ListOutcome {}
    }
}
