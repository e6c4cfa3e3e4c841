package org.yuccabank.agent.workflow;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.yuccabank.policy.workflow.BestEffortThrottle;
import org.yuccabank.policy.workflow.PressureEstimates;
import org.yuccabank.policy.workflow.Pressures;
import org.yuccabank.protocol.generated.ActiveRun;
import org.yuccabank.protocol.generated.EndedRun;
import org.yuccabank.protocol.generated.ImagePressure;
import org.yuccabank.protocol.generated.RunAddress;
import org.yuccabank.protocol.generated.StartRun;
import org.yuccabank.protocol.generated.WorkerCrash;
import org.yuccabank.protocol.generated.WorkerIdentity;

/**
 * The runs of one incarnation of a worker.
 *
 * <p>Invariants: an end is kept until the leader acknowledges or settles it; a run that the worker
 * has confirmed is never reported as not started, only as ended; any other one is reported as not
 * started only if the worker refused its only start call, or if it was absent from a list that was
 * requested after the worker had confirmed its stop; nothing follows from the absence from a list
 * that is not complete. Confined to the agent's event loop.
 */
final class RunTable {

    private static final String STOP_ORDER = "stop order";

    private final Map<RunAddress, RunEntry> entries = new LinkedHashMap<>();
    private final Map<PressureEstimates.ImagePair, Double> pressures = new HashMap<>();
    private long acknowledgedNumber;
    private long lowestListedNumber;
    private long answeredMillis;
    private final EndNumbers endNumbers = new EndNumbers();
    private boolean bornAgain;
    private boolean endsProven = true;

    /**
     * Begins with a new incarnation of the worker.
     *
     * @param newBornAgain whether it has the identifier of the incarnation before, which has listed
     *     its runs to this process, so that no other process has started runs on the new one
     * @param unsettledNumber number up to which it may discard ends unseen
     */
    void clear(boolean newBornAgain, long unsettledNumber) {
        WorkflowAgentLog.dropped(entries.values());
        entries.clear();
        acknowledgedNumber = 0;
        lowestListedNumber = 0;
        endNumbers.reset();
        bornAgain = newBornAgain;
        endsProven = !newBornAgain || unsettledNumber == 0;
    }

    Optional<RunEntry> entry(RunAddress run) {
        return Optional.ofNullable(entries.get(run));
    }

    Collection<RunEntry> entries() {
        return List.copyOf(entries.values());
    }

    /**
     * Records an answer of the worker.
     *
     * @param confirmed the runs that it confirms to run
     */
    void recordAnswer(Collection<RunAddress> confirmed, long nowMillis) {
        answeredMillis = nowMillis;
        confirmed.forEach(run -> entry(run).ifPresent(each -> each.recordConfirmed(nowMillis)));
    }

    /**
     * Returns the crash of the worker after its latest answer. The suspects do not change later,
     * except that the outcomes of start calls in progress become known.
     */
    WorkerCrash crash(WorkerIdentity worker) {
        WorkerCrash.Builder crash = WorkerCrash.newBuilder().setWorker(worker);
        for (RunEntry entry : entries.values()) {
            if (entry.isCrashSuspect(answeredMillis)) {
                crash.addSuspects(entry.run());
            } else if (entry.isUncertainCrashSuspect()) {
                crash.addUncertainSuspects(entry.run());
            }
        }
        return crash.build();
    }

    /**
     * Returns whether the worker may discard ends before it has listed them. It discards all up to
     * a number, so that the first end that it lists disproves this.
     */
    boolean mayDiscardEnds() {
        return !endsProven;
    }

    /** Returns whether a trial run has not ended. */
    boolean hasTrial() {
        return entries.values().stream()
                .anyMatch(entry -> entry.isTrial() && entry.stage() != RunEntry.Stage.ENDED);
    }

    /** Returns whether a start has to wait. */
    boolean hasWaitingStart() {
        return entries.values().stream()
                .anyMatch(
                        entry ->
                                entry.stage() == RunEntry.Stage.STARTING
                                        && !entry.isCallInProgress());
    }

    /**
     * Adds a run to start and returns its entry, empty if the run is already known.
     *
     * @param possiblySent whether a previous agent process may have sent the start
     */
    Optional<RunEntry> addStart(StartRun startRequest, boolean possiblySent) {
        RunEntry knownEntry = entries.get(startRequest.getRun());
        if (knownEntry != null) {
            if (knownEntry.startRequest().isEmpty()) {
                knownEntry.setStartRequest(startRequest);
            }
            return Optional.empty();
        }
        RunEntry entry = RunEntry.forStart(startRequest, possiblySent);
        entries.put(startRequest.getRun(), entry);
        return Optional.of(entry);
    }

    /**
     * Requests the stop of a run and returns its entry. An unknown run is added, as its start may
     * still reach the worker.
     */
    RunEntry requestStop(RunAddress run) {
        RunEntry entry = entryOrDiscovered(run, STOP_ORDER);
        entry.requestStop();
        return entry;
    }

    /**
     * Applies a list of the worker's runs.
     *
     * @param requestedMillis time at which the list was requested
     * @return true if a run has ended, in whatever way, or is now known not to have started
     */
    boolean applyListing(WorkerApi.ListOutcome.Listing listing, long requestedMillis) {
        List<EndedRun> ended = listing.ended();
        boolean changed = false;
        lowestListedNumber = ended.stream().mapToLong(EndedRun::getNumber).min().orElse(0);
        long discarded = endNumbers.recordListed(ended);
        endsProven |= !ended.isEmpty();
        if (discarded > 0) {
            WorkflowAgentLog.endsDiscarded(discarded, ended, acknowledgedNumber);
        }
        Set<RunAddress> listedRuns = new HashSet<>();
        for (ActiveRun each : listing.active()) {
            listedRuns.add(each.getRun());
            boolean unknown = !entries.containsKey(each.getRun());
            RunEntry entry = entryOrDiscovered(each.getRun(), "active on the worker");
            entry.setListed(each);
            if (unknown && bornAgain) {
                // Only a call for a former incarnation can have started it.
                entry.requestStop();
            }
            if (entry.stage() == RunEntry.Stage.STARTING
                    || entry.stage() == RunEntry.Stage.UNCERTAIN) {
                entry.setStage(RunEntry.Stage.STARTED);
            }
        }
        for (EndedRun each : ended) {
            listedRuns.add(each.getRun());
            if (each.getNumber() <= acknowledgedNumber) {
                continue;
            }
            RunEntry entry = entryOrDiscovered(each.getRun(), "ended on the worker");
            if (entry.end().map(EndedRun::getNumber).orElse(0L) == 0) {
                WorkflowAgentLog.endListed(entry, each);
                entry.recordEnd(each);
                changed = true;
            }
        }
        for (RunEntry entry : entries.values()) {
            if (listing.complete() && !listedRuns.contains(entry.run())) {
                changed |= concludeFromAbsence(entry, requestedMillis);
            }
        }
        return changed;
    }

    /**
     * Records what the absence of a run from a list proves, and returns whether that is its end.
     */
    private boolean concludeFromAbsence(RunEntry entry, long requestedMillis) {
        if (entry.isEndMissing(requestedMillis)) {
            WorkflowAgentLog.endMissing(entry, acknowledgedNumber);
            entry.recordOutcomeUnknown("neither active nor ended in a list");
            endsProven = false;
            return true;
        }
        if (entry.isAbsenceConfirmed(requestedMillis)) {
            WorkflowAgentLog.absenceConfirmed(entry, requestedMillis);
            entry.recordNotStarted("absent after a stop");
            return true;
        }
        return false;
    }

    private RunEntry entryOrDiscovered(RunAddress run, String source) {
        RunEntry known = entries.get(run);
        if (known != null) {
            return known;
        }
        if (bornAgain && !source.equals(STOP_ORDER)) {
            WorkflowAgentLog.startOfFormerIncarnation(run, source);
        }
        WorkflowAgentLog.discovered(run, source);
        RunEntry entry = RunEntry.discovered(run);
        entries.put(run, entry);
        return entry;
    }

    void acknowledge(long number) {
        acknowledgedNumber = Math.max(acknowledgedNumber, number);
        entries.values()
                .removeIf(
                        entry ->
                                entry.end()
                                        .filter(end -> end.getNumber() > 0)
                                        .filter(end -> end.getNumber() <= acknowledgedNumber)
                                        .isPresent());
    }

    /** Removes the runs whose ends the worker has not listed and that the leader has recorded. */
    void removeSettled(List<RunAddress> runs) {
        for (RunAddress run : runs) {
            entry(run)
                    .flatMap(RunEntry::end)
                    .filter(end -> end.getNumber() == 0)
                    .ifPresent(end -> entries.remove(run));
        }
    }

    /**
     * Returns whether there are ends that the leader has not acknowledged, which the worker repeats
     * in each list.
     */
    boolean hasUnacknowledgedEnds() {
        return entries.values().stream()
                .flatMap(entry -> entry.end().stream())
                .anyMatch(end -> end.getNumber() > acknowledgedNumber);
    }

    /** Returns whether the next list is expected to show that a run has not started. */
    boolean isAbsenceExpected() {
        return entries.values().stream().anyMatch(RunEntry::isAbsenceExpected);
    }

    /**
     * Returns the number up to which the worker should discard ends, 0 if its latest list has none
     * that the leader has acknowledged. A number that is not needed any more would only do harm if
     * the call reached the next incarnation, whose numbers start again.
     */
    long numberToDiscard() {
        return lowestListedNumber > 0 && lowestListedNumber <= acknowledgedNumber
                ? acknowledgedNumber
                : 0;
    }

    List<ActiveRun> active() {
        return entries.values().stream()
                .filter(entry -> entry.stage() != RunEntry.Stage.ENDED)
                .map(this::toReported)
                .toList();
    }

    private ActiveRun toReported(RunEntry entry) {
        int slowedByPercent = BestEffortThrottle.FULL_SPEED_PERCENT - entry.speedPercent();
        boolean startRequestUnknown = entry.startRequest().isEmpty();
        boolean stable = entry.isStable(answeredMillis);
        return slowedByPercent > 0 || startRequestUnknown || stable
                ? entry.listed().toBuilder()
                        .setSlowedByPercent(slowedByPercent)
                        .setUnknown(startRequestUnknown)
                        .setStable(stable)
                        .build()
                : entry.listed();
    }

    List<EndedRun> ended() {
        return entries.values().stream().flatMap(entry -> entry.end().stream()).toList();
    }

    /** Returns the latencies of the serving runs, with their images and latency targets. */
    List<PressureEstimates.ServingSample> servingRuns() {
        List<PressureEstimates.ServingSample> servingRuns = new ArrayList<>();
        for (RunEntry entry : entries.values()) {
            long target = entry.startRequest().map(StartRun::getLatencyTargetMillis).orElse(0L);
            if (entry.stage() == RunEntry.Stage.STARTED && target > 0) {
                String image = entry.startRequest().map(StartRun::getImage).orElseThrow();
                servingRuns.add(
                        new PressureEstimates.ServingSample(
                                image, entry.listed().getFigure(), target));
            }
        }
        return servingRuns;
    }

    /** Returns the best-effort runs with their speeds. */
    List<BestEffortThrottle.BestEffortTask<RunEntry>> bestEffortRuns() {
        return entries.values().stream()
                .filter(entry -> entry.stage() == RunEntry.Stage.STARTED)
                .filter(entry -> entry.startRequest().map(StartRun::getFilling).orElse(false))
                .map(
                        entry ->
                                new BestEffortThrottle.BestEffortTask<>(
                                        entry,
                                        entry.startRequest().orElseThrow().getImage(),
                                        entry.speedPercent(),
                                        entry.listed().getPercent()))
                .toList();
    }

    void updatePressures(List<ImagePressure> received) {
        received.forEach(
                each ->
                        pressures.put(
                                new PressureEstimates.ImagePair(
                                        each.getServingImage(), each.getImage()),
                                each.getPressure()));
    }

    /** Returns the pressure of best-effort images on serving ones, as received from the leaders. */
    Pressures pressures() {
        return (servingImage, bestEffortImage) ->
                pressures.getOrDefault(
                        new PressureEstimates.ImagePair(servingImage, bestEffortImage),
                        Pressures.UNKNOWN);
    }

    /** Returns all pressures received from leaders, to be reported to a new leader. */
    List<ImagePressure> knownPressures() {
        return pressures.entrySet().stream()
                .map(
                        each ->
                                ImagePressure.newBuilder()
                                        .setImage(each.getKey().bestEffort())
                                        .setServingImage(each.getKey().serving())
                                        .setPressure(each.getValue())
                                        .build())
                .toList();
    }
}
