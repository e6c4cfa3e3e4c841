package org.yuccabank.agent.workflow;

import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import org.yuccabank.model.Resources;
import org.yuccabank.policy.workflow.BestEffortThrottle;
import org.yuccabank.protocol.generated.ActiveRun;
import org.yuccabank.protocol.generated.EndedRun;
import org.yuccabank.protocol.generated.RunAddress;
import org.yuccabank.protocol.generated.RunEnding;
import org.yuccabank.protocol.generated.StartRun;

/**
 * The agent's state of a run. Confined to the agent's event loop; times are those of its monotonic
 * clock.
 */
final class RunEntry {

    /**
     * Time after its start within which a task that crashes its worker does so. Such tasks do it as
     * they start, so this covers the delay of the answers.
     */
    private static final long CRASH_WINDOW_MILLIS = 500;

    /** The stage of a run as known to the agent. */
    enum Stage {
        /** The start call has to be sent or is in progress. */
        STARTING,
        /** The worker has confirmed the start or listed the run. */
        STARTED,
        /** The outcome of the start is unknown, so the run has to be stopped. */
        UNCERTAIN,
        /**
         * The worker has confirmed that it will not start the run from now on. The next list shows
         * whether it had started the run before.
         */
        AWAITING_ABSENCE,
        /** The run has ended or will never start. */
        ENDED
    }

    private final RunAddress run;
    private Optional<StartRun> startRequest;
    private Stage stage;
    private long absenceCheckedFromMillis;
    private int startAttempts;
    private boolean startInProgress;
    private boolean startUncertain;
    private boolean identificationRequired;
    private boolean trial;
    private boolean sentByPreviousProcess;
    private OptionalLong confirmedAtMillis = OptionalLong.empty();
    private boolean startSent;
    private boolean deferred;
    private boolean callInProgress;
    private boolean stopRequested;
    private long stopSentAtMillis = Long.MIN_VALUE / 2;
    private int speedPercent = BestEffortThrottle.FULL_SPEED_PERCENT;
    private boolean speedChangeInProgress;
    private boolean speedConfirmed = true;
    private ActiveRun listed;
    private EndedRun end;

    private RunEntry(RunAddress run, Optional<StartRun> startRequest, Stage stage) {
        this.run = run;
        this.startRequest = startRequest;
        this.stage = stage;
        this.listed = ActiveRun.newBuilder().setRun(run).build();
    }

    /**
     * Returns a run to start.
     *
     * @param startRequest the request of the leader
     * @param possiblySent whether a previous agent process may have sent the start
     */
    static RunEntry forStart(StartRun startRequest, boolean possiblySent) {
        RunEntry entry =
                new RunEntry(startRequest.getRun(), Optional.of(startRequest), Stage.STARTING);
        entry.startSent = possiblySent;
        entry.sentByPreviousProcess = possiblySent;
        return entry;
    }

    static RunEntry discovered(RunAddress run) {
        RunEntry entry = new RunEntry(run, Optional.empty(), Stage.STARTED);
        entry.speedConfirmed = false;
        return entry;
    }

    RunAddress run() {
        return run;
    }

    Optional<StartRun> startRequest() {
        return startRequest;
    }

    /** Sets the start request of a run that was discovered on the worker. */
    void setStartRequest(StartRun received) {
        startRequest = Optional.of(received);
    }

    Stage stage() {
        return stage;
    }

    void setStage(Stage next) {
        stage = next;
    }

    /**
     * Enters {@link Stage#AWAITING_ABSENCE}. If a list requested after the given time does not
     * contain the run, it will never start; it has not started before unless the worker has
     * confirmed it.
     */
    void awaitAbsence(long nowMillis) {
        stage = Stage.AWAITING_ABSENCE;
        absenceCheckedFromMillis = nowMillis;
    }

    /** Returns the time given to {@link #awaitAbsence}. */
    long absenceCheckedFromMillis() {
        return absenceCheckedFromMillis;
    }

    /**
     * Records that the worker has refused the start because the run, or a later one of its task,
     * existed before or was stopped. An earlier start call without a known outcome was thus carried
     * out, or a previous agent process has stopped the run, so that it is not known to be
     * unstarted.
     */
    void recordOutdated(long nowMillis) {
        if (isStartUncertain()) {
            recordConfirmed(nowMillis);
        }
        awaitAbsence(nowMillis);
    }

    /**
     * Returns whether a list that does not contain the run proves that it has not started. The
     * absence of a run that the worker has confirmed proves only that it has ended.
     */
    boolean isAbsenceConfirmed(long listRequestedMillis) {
        return stage == Stage.AWAITING_ABSENCE
                && confirmedAtMillis.isEmpty()
                && listRequestedMillis > absenceCheckedFromMillis;
    }

    /**
     * Returns whether the next list is expected to show that the run has not started. The end of a
     * run that the worker has confirmed takes longer and ends the wait of a list.
     */
    boolean isAbsenceExpected() {
        return stage == Stage.AWAITING_ABSENCE && confirmedAtMillis.isEmpty();
    }

    /** Records that a start call is being sent, after which the worker may run it at any time. */
    void beginStart() {
        startSent = true;
        startInProgress = true;
    }

    /** Records the outcome of a start call that may have been executed if it is uncertain. */
    void endStart(boolean uncertain) {
        startInProgress = false;
        startUncertain |= uncertain;
    }

    /** Records that the worker has confirmed the start or listed the run. */
    void recordConfirmed(long nowMillis) {
        if (confirmedAtMillis.isEmpty()) {
            confirmedAtMillis = OptionalLong.of(nowMillis);
        }
    }

    /**
     * Returns whether a list that contains neither the run nor its end proves that it has ended in
     * a way that is no longer known.
     *
     * @param listRequestedMillis time at which the list was requested
     */
    boolean isEndMissing(long listRequestedMillis) {
        return stage != Stage.ENDED
                && confirmedAtMillis.isPresent()
                && confirmedAtMillis.getAsLong() < listRequestedMillis;
    }

    /**
     * Returns whether the run has lasted for longer than tasks that crash their worker do.
     *
     * @param answeredMillis time of the latest answer of the worker
     */
    boolean isStable(long answeredMillis) {
        return confirmedAtMillis.isPresent()
                && answeredMillis - confirmedAtMillis.getAsLong() >= CRASH_WINDOW_MILLIS;
    }

    /** Returns whether the run had started shortly before a crash that followed the answer. */
    boolean isCrashSuspect(long answeredMillis) {
        return stage != Stage.ENDED && confirmedAtMillis.isPresent() && !isStable(answeredMillis);
    }

    /** Returns whether it is unknown if the run had started before a crash. */
    boolean isUncertainCrashSuspect() {
        return stage != Stage.ENDED
                && confirmedAtMillis.isEmpty()
                && (startInProgress || startUncertain);
    }

    /**
     * Returns whether an earlier start call may be carried out yet. The outcome of a later call
     * tells nothing about it.
     */
    boolean isStartUncertain() {
        return startUncertain || sentByPreviousProcess;
    }

    /** Sets whether the worker has to confirm its incarnation before the next start call. */
    void requireIdentification(boolean required) {
        identificationRequired = required;
    }

    boolean isIdentificationRequired() {
        return identificationRequired;
    }

    /** Marks the run as a trial, which is stopped once it has started. */
    void markTrial() {
        trial = true;
    }

    boolean isTrial() {
        return trial;
    }

    int countStartAttempt() {
        return ++startAttempts;
    }

    boolean isStartSent() {
        return startSent;
    }

    /** Records that the start has to wait, and returns whether this is the first time. */
    boolean defer() {
        boolean first = !deferred;
        deferred = true;
        return first;
    }

    /** Returns whether the run may be on the worker, whose capacity it then uses. */
    boolean mayOccupyWorker() {
        return stage == Stage.STARTING ? startSent : stage != Stage.ENDED;
    }

    /** Returns the resources that the run reserves, empty if it was discovered on the worker. */
    Optional<Resources> reservation() {
        return startRequest
                .map(StartRun::getReservation)
                .map(
                        vector ->
                                Resources.of(
                                        vector.getProcessorMillis(),
                                        vector.getMemoryMebibytes(),
                                        vector.getAccelerators()));
    }

    boolean isCallInProgress() {
        return callInProgress;
    }

    void setCallInProgress(boolean inProgress) {
        callInProgress = inProgress;
    }

    boolean isStopRequested() {
        return stopRequested;
    }

    void requestStop() {
        stopRequested = true;
    }

    boolean isStopDue(long nowMillis, long intervalMillis) {
        return nowMillis - stopSentAtMillis >= intervalMillis;
    }

    void recordStopSent(long nowMillis) {
        stopSentAtMillis = nowMillis;
    }

    int speedPercent() {
        return speedPercent;
    }

    /** Records that a change to a percentage of the full speed is being sent. */
    void beginSpeedChange(int value) {
        speedPercent = value;
        speedChangeInProgress = true;
    }

    /** Records the outcome of a speed change, unless a later change has superseded it. */
    void endSpeedChange(int value, boolean done) {
        if (value == speedPercent) {
            speedChangeInProgress = false;
            speedConfirmed = done;
        }
    }

    /**
     * Returns the speed percentage to send to a started best-effort run, or empty if the worker has
     * confirmed it or a change is in progress. The speed of a discovered run is unconfirmed,
     * because a previous agent process may have set another one.
     */
    OptionalInt unconfirmedSpeed() {
        boolean bestEffort = startRequest.map(StartRun::getFilling).orElse(false);
        return bestEffort && stage == Stage.STARTED && !speedChangeInProgress && !speedConfirmed
                ? OptionalInt.of(speedPercent)
                : OptionalInt.empty();
    }

    ActiveRun listed() {
        return listed;
    }

    void setListed(ActiveRun value) {
        listed = value;
    }

    void recordEnd(EndedRun ended) {
        stage = Stage.ENDED;
        end = ended;
    }

    void recordNotStarted(String reason) {
        recordUnnumberedEnd(RunEnding.RUN_NOT_STARTED, reason);
    }

    void recordWithoutCapacity(String reason) {
        recordUnnumberedEnd(RunEnding.RUN_WITHOUT_CAPACITY, reason);
    }

    void recordOutcomeUnknown(String reason) {
        recordUnnumberedEnd(RunEnding.RUN_OUTCOME_UNKNOWN, reason);
    }

    /** Records an end that the agent concludes, with the latest checkpoint that was listed. */
    private void recordUnnumberedEnd(RunEnding ending, String reason) {
        recordEnd(
                EndedRun.newBuilder()
                        .setRun(run)
                        .setEnding(ending)
                        .setCheckpoint(listed.getCheckpoint())
                        .setReason(reason)
                        .build());
    }

    Optional<EndedRun> end() {
        return Optional.ofNullable(end);
    }
}
