package org.yuccabank.control.workflow;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.yuccabank.policy.workflow.PressureEstimates;
import org.yuccabank.policy.workflow.WaitingTask;
import org.yuccabank.protocol.generated.ActiveRun;
import org.yuccabank.protocol.generated.ImagePressure;
import org.yuccabank.protocol.generated.StepDefinition;
import org.yuccabank.protocol.generated.WorkerReport;
import org.yuccabank.state.workflow.WorkflowRecords;
import org.yuccabank.state.workflow.WorkflowTask;

/**
 * Estimates from worker reports how much best-effort images interfere with serving images. Confined
 * to the replica thread; times are read from a monotonic clock.
 */
final class InterferenceMonitor {

    private static final double PERCENT = 100.0;

    /**
     * Time constant of the moving average of the numbers of best-effort tasks. The reported
     * latencies cover the last half second.
     */
    private static final double AVERAGING_MILLIS = 350;

    /**
     * Decay of the held peak of a serving task's own load, in shares of the headroom a second.
     * Loads swing within about ten seconds, so a best-effort task that is placed for a trough is
     * throttled to a stop at the next peak and has to move.
     */
    private static final double PEAK_DECAY_PER_SECOND = 0.01;

    /** Longest time between two reports for which a peak decays. */
    private static final double MAXIMUM_DECAY_SECONDS = 10;

    private final PressureEstimates estimates = new PressureEstimates();
    private final Map<String, ColocatedTasks> workers = new HashMap<>();

    /** The tasks that run together on one worker, as of its latest report. */
    private static final class ColocatedTasks {
        private final Map<String, Double> averageBestEffortCounts = new HashMap<>();
        private long reportedAtMillis = Long.MIN_VALUE / 2;
        private final Map<String, Double> peakOwnLoads = new HashMap<>();
        private final Map<String, Double> pressureLimits = new HashMap<>();

        private void updateAverage(Map<String, Double> current, long nowMillis) {
            double decay = Math.exp(-(nowMillis - reportedAtMillis) / AVERAGING_MILLIS);
            reportedAtMillis = nowMillis;
            averageBestEffortCounts.replaceAll((image, count) -> count * decay);
            current.forEach(
                    (image, count) ->
                            averageBestEffortCounts.merge(image, (1 - decay) * count, Double::sum));
            averageBestEffortCounts.values().removeIf(count -> count < 1 / PERCENT);
        }

        private void updatePressureLimits(
                Map<String, PressureEstimates.HeadroomObservation> observations, double peakDecay) {
            pressureLimits.keySet().retainAll(observations.keySet());
            peakOwnLoads.keySet().retainAll(observations.keySet());
            observations.forEach(
                    (image, observation) -> {
                        double ownLoad = observation.ownLoad();
                        double held = peakOwnLoads.getOrDefault(image, ownLoad) - peakDecay;
                        double peak = Math.max(ownLoad, held);
                        peakOwnLoads.put(image, peak);
                        pressureLimits.put(image, Math.max(0, observation.usable() - peak));
                    });
        }
    }

    /** Updates the estimates with the runs and pressures listed in a worker report. */
    void update(WorkerReport report, WorkflowRecords records, long nowMillis) {
        report.getPressuresList()
                .forEach(
                        each ->
                                estimates.addPrior(
                                        new PressureEstimates.ImagePair(
                                                each.getServingImage(), each.getImage()),
                                        each.getPressure()));
        Map<String, List<PressureEstimates.ServingSample>> samplesByStep = new LinkedHashMap<>();
        Map<String, Double> bestEffortCounts = new HashMap<>();
        for (ActiveRun run : report.getActiveList()) {
            Optional<WorkflowTask> openTask = records.openRun(run.getRun());
            if (openTask.isEmpty()) {
                continue;
            }
            WorkflowTask task = openTask.get();
            StepDefinition step = task.workflow().step(task.address().getStep());
            switch (StepEstimates.loadKind(step)) {
                case SERVING -> {
                    boolean hasSample = run.getPercent() >= PERCENT && run.getFigure() > 0;
                    if (hasSample && step.getLatencyTargetMillis() > 0) {
                        samplesByStep
                                .computeIfAbsent(task.stepKey(), key -> new ArrayList<>())
                                .add(
                                        new PressureEstimates.ServingSample(
                                                step.getImage(),
                                                run.getFigure(),
                                                step.getLatencyTargetMillis()));
                    }
                }
                case BEST_EFFORT ->
                        bestEffortCounts.merge(
                                step.getImage(),
                                1 - run.getSlowedByPercent() / PERCENT,
                                Double::sum);
                default -> {
                    // Plain tasks exert no pressure.
                }
            }
        }
        ColocatedTasks colocated =
                workers.computeIfAbsent(
                        report.getWorker().getWorkerId(), absent -> new ColocatedTasks());
        double elapsedSeconds =
                Math.min(MAXIMUM_DECAY_SECONDS, (nowMillis - colocated.reportedAtMillis) / 1_000.0);
        colocated.updateAverage(bestEffortCounts, nowMillis);
        colocated.updatePressureLimits(
                estimates.observe(samplesByStep, colocated.averageBestEffortCounts, nowMillis),
                PEAK_DECAY_PER_SECOND * elapsedSeconds);
    }

    /** Returns the estimates of the pressures. */
    PressureEstimates pressures() {
        return estimates;
    }

    /**
     * Returns the maximum total pressure of best-effort tasks on a worker for each serving image.
     */
    Map<String, Double> pressureLimits(String workerId) {
        ColocatedTasks colocated = workers.get(workerId);
        return colocated == null ? Map.of() : colocated.pressureLimits;
    }

    /** Returns the pressures of the best-effort images on the serving images of the given steps. */
    List<ImagePressure> pressures(List<StepDefinition> steps) {
        Set<String> servingImages = images(steps, WaitingTask.LoadKind.SERVING);
        List<ImagePressure> found = new ArrayList<>();
        for (String bestEffortImage : images(steps, WaitingTask.LoadKind.BEST_EFFORT)) {
            for (String servingImage : servingImages) {
                found.add(
                        ImagePressure.newBuilder()
                                .setImage(bestEffortImage)
                                .setServingImage(servingImage)
                                .setPressure(estimates.pressure(servingImage, bestEffortImage))
                                .build());
            }
        }
        return found;
    }

    private static Set<String> images(List<StepDefinition> steps, WaitingTask.LoadKind kind) {
        return steps.stream()
                .filter(step -> StepEstimates.loadKind(step) == kind)
                .map(StepDefinition::getImage)
                .collect(Collectors.toSet());
    }

    /** Removes the state of a worker that was replaced. */
    void remove(String workerId) {
        workers.remove(workerId);
    }

    /**
     * Removes the state of all workers. The pressures learned for images remain valid and are kept.
     */
    void clear() {
        workers.clear();
    }
}
