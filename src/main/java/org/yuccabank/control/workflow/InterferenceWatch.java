package org.yuccabank.control.workflow;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.yuccabank.policy.workflow.PressureEstimates;
import org.yuccabank.policy.workflow.Pressures;
import org.yuccabank.policy.workflow.WaitingTask;
import org.yuccabank.protocol.generated.ActiveRun;
import org.yuccabank.protocol.generated.ImagePressure;
import org.yuccabank.protocol.generated.StepDefinition;
import org.yuccabank.protocol.generated.WorkerReport;
import org.yuccabank.state.workflow.WorkflowRecords;

/**
 * Learns from the reports of workers how much filling images press on serving ones. Confined to the
 * thread of the replica; times are those of a steady clock.
 */
final class InterferenceWatch {

    private static final double WHOLE = 100.0;

    /**
     * Time over which the filling tasks are averaged, as the figures cover the last half second.
     */
    private static final double AVERAGED_MILLIS = 350;

    /**
     * Part of the way that the own load of serving tasks falls with each report; it rises at once.
     */
    private static final double FALL_SHARE = 0.15;

    private final PressureEstimates estimates = new PressureEstimates();
    private final Map<String, Neighbours> workers = new HashMap<>();

    /** The tasks of one worker as its latest figures saw them. */
    private static final class Neighbours {
        private final Map<String, Double> filling = new HashMap<>();
        private long reportedAtMillis = Long.MIN_VALUE / 2;
        private final Map<String, Double> ownLoads = new HashMap<>();
        private final Map<String, Double> bearable = new HashMap<>();

        private void average(Map<String, Double> present, long nowMillis) {
            double kept = Math.exp(-(nowMillis - reportedAtMillis) / AVERAGED_MILLIS);
            reportedAtMillis = nowMillis;
            filling.replaceAll((image, count) -> count * kept);
            present.forEach(
                    (image, count) -> filling.merge(image, (1 - kept) * count, Double::sum));
            filling.values().removeIf(count -> count < 1 / WHOLE);
        }

        private void observed(Map<String, PressureEstimates.HeadroomObservation> observations) {
            bearable.keySet().retainAll(observations.keySet());
            ownLoads.keySet().retainAll(observations.keySet());
            observations.forEach(
                    (image, observation) -> {
                        double before = ownLoads.getOrDefault(image, observation.ownLoad());
                        double fallen = before + FALL_SHARE * (observation.ownLoad() - before);
                        double ownLoad = Math.max(observation.ownLoad(), fallen);
                        ownLoads.put(image, ownLoad);
                        bearable.put(image, Math.max(0, observation.usable() - ownLoad));
                    });
        }
    }

    /** Takes the list of a worker. */
    void report(WorkerReport report, WorkflowRecords records, long nowMillis) {
        report.getPressuresList()
                .forEach(
                        each ->
                                estimates.addPrior(
                                        new PressureEstimates.ImagePair(
                                                each.getServingImage(), each.getImage()),
                                        each.getPressure()));
        List<PressureEstimates.ServingSample> serving = new ArrayList<>();
        Map<String, Double> filling = new HashMap<>();
        for (ActiveRun run : report.getActiveList()) {
            Optional<StepDefinition> found =
                    records.openRun(run.getRun())
                            .map(task -> task.workflow().step(task.address().getStep()));
            if (found.isEmpty()) {
                continue;
            }
            StepDefinition step = found.get();
            switch (StepEstimates.loadKind(step)) {
                case SERVING -> {
                    boolean atWork = run.getPercent() >= WHOLE && run.getFigure() > 0;
                    if (atWork && step.getLatencyTargetMillis() > 0) {
                        serving.add(
                                new PressureEstimates.ServingSample(
                                        step.getImage(),
                                        run.getFigure(),
                                        step.getLatencyTargetMillis()));
                    }
                }
                case FILLING ->
                        filling.merge(
                                step.getImage(), 1 - run.getSlowedByPercent() / WHOLE, Double::sum);
                default -> {
                    // Plain tasks do not press.
                }
            }
        }
        Neighbours neighbours =
                workers.computeIfAbsent(
                        report.getWorker().getWorkerId(), absent -> new Neighbours());
        neighbours.average(filling, nowMillis);
        neighbours.observed(estimates.observe(serving, neighbours.filling));
    }

    Pressures pressures() {
        return estimates;
    }

    /** Pressures that filling tasks on a worker may have in all, by serving image. */
    Map<String, Double> bearablePressures(String workerId) {
        Neighbours neighbours = workers.get(workerId);
        return neighbours == null ? Map.of() : neighbours.bearable;
    }

    /** The pressures between the images of some tasks. */
    List<ImagePressure> pressures(List<StepDefinition> steps) {
        Set<String> serving = images(steps, WaitingTask.LoadKind.SERVING);
        List<ImagePressure> found = new ArrayList<>();
        for (String filling : images(steps, WaitingTask.LoadKind.FILLING)) {
            for (String image : serving) {
                found.add(
                        ImagePressure.newBuilder()
                                .setImage(filling)
                                .setServingImage(image)
                                .setPressure(estimates.of(image, filling))
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

    /** Forgets a worker that was replaced. */
    void forget(String workerId) {
        workers.remove(workerId);
    }

    /** Forgets what the workers ran; what was learned of images stays true. */
    void clear() {
        workers.clear();
    }
}
