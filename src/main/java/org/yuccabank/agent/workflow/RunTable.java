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

/**
 * The runs of one incarnation of a worker.
 *
 * <p>Invariants: an end stays until it is acknowledged or settled by the leader; a run counts as
 * not started only if the worker refused it, or if it was absent from a list that was requested
 * after the worker had agreed to stop it. Confined to the thread of the agent.
 */
final class RunTable {

    private final Map<RunAddress, RunEntry> entries = new LinkedHashMap<>();
    private final Map<PressureEstimates.ImagePair, Double> pressures = new HashMap<>();
    private long acknowledgedNumber;

    void clear() {
        entries.clear();
        acknowledgedNumber = 0;
    }

    Optional<RunEntry> entry(RunAddress run) {
        return Optional.ofNullable(entries.get(run));
    }

    Collection<RunEntry> entries() {
        return List.copyOf(entries.values());
    }

    /** The entry of an ordered start, empty if the run is known already. */
    Optional<RunEntry> addStart(StartRun startRequest) {
        RunEntry known = entries.get(startRequest.getRun());
        if (known != null) {
            if (known.startRequest().isEmpty()) {
                known.setStartRequest(startRequest);
            }
            return Optional.empty();
        }
        RunEntry entry = RunEntry.forStart(startRequest);
        entries.put(startRequest.getRun(), entry);
        return Optional.of(entry);
    }

    /** The entry of a run to stop; one that is not known here may still be on its way. */
    RunEntry requestStop(RunAddress run) {
        RunEntry entry = entries.computeIfAbsent(run, RunEntry::discovered);
        entry.requestStop();
        return entry;
    }

    /**
     * Takes a list.
     *
     * @return true if a run has ended or turned out never to have started
     */
    boolean applyListing(List<ActiveRun> active, List<EndedRun> ended, long requestedMillis) {
        boolean changed = false;
        Set<RunAddress> seen = new HashSet<>();
        for (ActiveRun each : active) {
            seen.add(each.getRun());
            RunEntry entry = entries.computeIfAbsent(each.getRun(), RunEntry::discovered);
            entry.setListed(each);
            if (entry.stage() == RunEntry.Stage.STARTING
                    || entry.stage() == RunEntry.Stage.DOUBTFUL) {
                entry.setStage(RunEntry.Stage.STARTED);
            }
        }
        for (EndedRun each : ended) {
            seen.add(each.getRun());
            if (each.getNumber() <= acknowledgedNumber) {
                continue;
            }
            RunEntry entry = entries.computeIfAbsent(each.getRun(), RunEntry::discovered);
            if (entry.end().map(EndedRun::getNumber).orElse(0L) == 0) {
                entry.recordEnd(each);
                changed = true;
            }
        }
        for (RunEntry entry : entries.values()) {
            if (!seen.contains(entry.run()) && entry.isAbsenceConfirmed(requestedMillis)) {
                entry.recordNotStarted("absent after a stop");
                changed = true;
            }
        }
        return changed;
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

    /** The leader has recorded that these runs did not start. */
    void removeSettled(List<RunAddress> runs) {
        for (RunAddress run : runs) {
            entry(run)
                    .flatMap(RunEntry::end)
                    .filter(end -> end.getNumber() == 0)
                    .ifPresent(end -> entries.remove(run));
        }
    }

    /** Tells whether the worker would repeat an end in its next list. */
    boolean hasUnacknowledgedEnds() {
        return entries.values().stream()
                .flatMap(entry -> entry.end().stream())
                .anyMatch(end -> end.getNumber() > acknowledgedNumber);
    }

    long acknowledgedNumber() {
        return acknowledgedNumber;
    }

    List<ActiveRun> active() {
        return entries.values().stream()
                .filter(entry -> entry.stage() != RunEntry.Stage.ENDED)
                .map(RunTable::toReported)
                .toList();
    }

    private static ActiveRun toReported(RunEntry entry) {
        int slowedBy = BestEffortThrottle.FULL_SPEED_PERCENT - entry.speedPercent();
        boolean unknown = entry.startRequest().isEmpty();
        return slowedBy > 0 || unknown
                ? entry.listed().toBuilder()
                        .setSlowedByPercent(slowedBy)
                        .setUnknown(unknown)
                        .build()
                : entry.listed();
    }

    List<EndedRun> ended() {
        return entries.values().stream().flatMap(entry -> entry.end().stream()).toList();
    }

    /** Latency figures of the serving runs. */
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

    /** The filling runs with their speeds. */
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

    /** How much filling images press on serving ones, as the leader has told. */
    Pressures pressures() {
        return (serving, filling) ->
                pressures.getOrDefault(
                        new PressureEstimates.ImagePair(serving, filling), Pressures.UNKNOWN);
    }

    /** What leaders have told about images, for a leader that has yet to learn it. */
    List<ImagePressure> knownPressures() {
        return pressures.entrySet().stream()
                .map(
                        each ->
                                ImagePressure.newBuilder()
                                        .setImage(each.getKey().filling())
                                        .setServingImage(each.getKey().serving())
                                        .setPressure(each.getValue())
                                        .build())
                .toList();
    }
}
