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
    private Optional<StartRun> order;
    private Stage stage;
    private long checkedSinceMillis;
    private int tries;
    private boolean callInProgress;
    private boolean stopWanted;
    private long stoppedAtMillis = Long.MIN_VALUE / 2;
    private int percent = BestEffortThrottle.FULL_SPEED_PERCENT;
    private boolean paceInProgress;
    private boolean paceConfirmed = true;
    private ActiveRun listed;
    private EndedRun end;

    private RunEntry(RunAddress run, Optional<StartRun> order, Stage stage) {
        this.run = run;
        this.order = order;
        this.stage = stage;
        this.listed = ActiveRun.newBuilder().setRun(run).build();
    }

    static RunEntry ordered(StartRun order) {
        return new RunEntry(order.getRun(), Optional.of(order), Stage.STARTING);
    }

    static RunEntry found(RunAddress run) {
        RunEntry entry = new RunEntry(run, Optional.empty(), Stage.STARTED);
        entry.paceConfirmed = false;
        return entry;
    }

    RunAddress run() {
        return run;
    }

    Optional<StartRun> order() {
        return order;
    }

    /** The order of a run that was found on the worker. */
    void learnOrder(StartRun learned) {
        order = Optional.of(learned);
    }

    Stage stage() {
        return stage;
    }

    void setStage(Stage next) {
        stage = next;
    }

    /** From a list requested after this time, absence proves that the run will never be there. */
    void checkSince(long nowMillis) {
        stage = Stage.CHECKING;
        checkedSinceMillis = nowMillis;
    }

    boolean isAbsenceProved(long listRequestedMillis) {
        return stage == Stage.CHECKING && listRequestedMillis > checkedSinceMillis;
    }

    int nextTry() {
        return ++tries;
    }

    boolean isCallInProgress() {
        return callInProgress;
    }

    void setCallInProgress(boolean inProgress) {
        callInProgress = inProgress;
    }

    boolean isStopWanted() {
        return stopWanted;
    }

    void wantStop() {
        stopWanted = true;
    }

    boolean mayStopAgain(long nowMillis, long intervalMillis) {
        return nowMillis - stoppedAtMillis >= intervalMillis;
    }

    void noteStop(long nowMillis) {
        stoppedAtMillis = nowMillis;
    }

    int percent() {
        return percent;
    }

    /** An order to run at a percentage of the full speed is on its way. */
    void pace(int value) {
        percent = value;
        paceInProgress = true;
    }

    /** The order came to an end; a later one counts more than an earlier one. */
    void endPace(int value, boolean done) {
        if (value == percent) {
            paceInProgress = false;
            paceConfirmed = done;
        }
    }

    /** The percentage that the worker may not know of; a former agent may have set another. */
    OptionalInt unconfirmedPercent() {
        boolean fills = order.map(StartRun::getFilling).orElse(false);
        return fills && stage == Stage.STARTED && !paceInProgress && !paceConfirmed
                ? OptionalInt.of(percent)
                : OptionalInt.empty();
    }

    ActiveRun listed() {
        return listed;
    }

    void setListed(ActiveRun value) {
        listed = value;
    }

    void endAs(EndedRun ended) {
        stage = Stage.ENDED;
        end = ended;
    }

    void endUnstarted(String reason) {
        endAs(
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
