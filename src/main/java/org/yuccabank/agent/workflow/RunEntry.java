package org.yuccabank.agent.workflow;

import java.util.Optional;
import java.util.OptionalInt;
import org.yuccabank.policy.workflow.BestEffortThrottle;
import org.yuccabank.protocol.generated.ActiveRun;
import org.yuccabank.protocol.generated.EndedRun;
import org.yuccabank.protocol.generated.RunAddress;
import org.yuccabank.protocol.generated.RunEnding;
import org.yuccabank.protocol.generated.StartRun;

/**
 * What the agent knows about one run. Confined to the thread of the agent; times are those of its
 * steady clock.
 */
final class RunEntry {

    /** How the agent stands with a run. */
    enum Stage {
        /** A start is to be sent or on its way. */
        STARTING,
        /** The worker has confirmed or listed the run. */
        STARTED,
        /** It is not known whether the start will be carried out: it has to be stopped. */
        DOUBTFUL,
        /** The worker will not start it any more; the next list tells whether it was there. */
        CHECKING,
        /** It has ended or will never run. */
        ENDED
    }

    private final RunAddress run;
    private Optional<StartRun> startRequest;
    private Stage stage;
    private long absenceCheckedFromMillis;
    private int startAttempts;
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

    static RunEntry forStart(StartRun startRequest) {
        return new RunEntry(startRequest.getRun(), Optional.of(startRequest), Stage.STARTING);
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

    /** The order of a run that was found on the worker. */
    void setStartRequest(StartRun received) {
        startRequest = Optional.of(received);
    }

    Stage stage() {
        return stage;
    }

    void setStage(Stage next) {
        stage = next;
    }

    /** From a list requested after this time, absence proves that the run will never be there. */
    void awaitAbsence(long nowMillis) {
        stage = Stage.CHECKING;
        absenceCheckedFromMillis = nowMillis;
    }

    boolean isAbsenceConfirmed(long listRequestedMillis) {
        return stage == Stage.CHECKING && listRequestedMillis > absenceCheckedFromMillis;
    }

    int countStartAttempt() {
        return ++startAttempts;
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

    /** An order to run at a percentage of the full speed is on its way. */
    void beginSpeedChange(int value) {
        speedPercent = value;
        speedChangeInProgress = true;
    }

    /** The order came to an end; a later one counts more than an earlier one. */
    void endSpeedChange(int value, boolean done) {
        if (value == speedPercent) {
            speedChangeInProgress = false;
            speedConfirmed = done;
        }
    }

    /** The percentage that the worker may not know of; a former agent may have set another. */
    OptionalInt unconfirmedSpeedPercent() {
        boolean filling = startRequest.map(StartRun::getFilling).orElse(false);
        return filling && stage == Stage.STARTED && !speedChangeInProgress && !speedConfirmed
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
        recordEnd(
                EndedRun.newBuilder()
                        .setRun(run)
                        .setEnding(RunEnding.RUN_NOT_STARTED)
                        .setReason(reason)
                        .build());
    }

    Optional<EndedRun> end() {
        return Optional.ofNullable(end);
    }
}
