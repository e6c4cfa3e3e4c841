package org.yuccabank.control.workflow;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.yuccabank.policy.workflow.PressureEstimates;
import org.yuccabank.policy.workflow.WaitingTask;
import org.yuccabank.protocol.generated.ActiveRun;
import org.yuccabank.protocol.generated.ImagePressure;
import org.yuccabank.protocol.generated.StepDefinition;
import org.yuccabank.protocol.generated.WorkerReport;
import org.yuccabank.state.workflow.WorkflowRecords;

/**
 * Learns from the reports of workers how much each filling image presses on serving tasks. Confined
 * to the thread of the replica; times are those of a steady clock.
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

    /** Headroom that is left to filling tasks on a worker without figures. */
    private static final double USUAL_BEARABLE = 0.35;

    private final PressureEstimates estimates = new PressureEstimates();
    private final Map<String, Neighbours> workers = new HashMap<>();

    /** The tasks of one worker as its latest figures saw them. */
    private static final class Neighbours {
        private final Map<String, Double> filling = new HashMap<>();
        private long reportedAtMillis = Long.MIN_VALUE / 2;
        private double ownLoad;
        private double bearable = USUAL_BEARABLE;

        private void average(Map<String, Double> present, long nowMillis) {
            double kept = Math.exp(-(nowMillis - reportedAtMillis) / AVERAGED_MILLIS);
            reportedAtMillis = nowMillis;
            filling.replaceAll((image, count) -> count * kept);
            present.forEach(
                    (image, count) -> filling.merge(image, (1 - kept) * count, Double::sum));
            filling.values().removeIf(count -> count < 1 / WHOLE);
        }

        private void observed(PressureEstimates.Observation observation) {
            double fallen = ownLoad + FALL_SHARE * (observation.ownLoad() - ownLoad);
            ownLoad = Math.max(observation.ownLoad(), fallen);
            bearable = Math.max(0, observation.bearable() - ownLoad);
        }
    }

    /** Takes the list of a worker. */
    void report(WorkerReport report, WorkflowRecords records, long nowMillis) {
        report.getPressuresList()
                .forEach(each -> estimates.learn(each.getImage(), each.getPressure()));
        List<PressureEstimates.Serving> serving = new ArrayList<>();
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
                                new PressureEstimates.Serving(
                                        step.getImage(),
                                        run.getFigure(),
                                        step.getLatencyTargetMillis()));
                    }
                }
                case FILLING -> {
                    filling.merge(
                            step.getImage(), 1 - run.getSlowedByPercent() / WHOLE, Double::sum);
                }
                case PLAIN -> {
                    // Plain tasks do not press.
                }
            }
        }
        Neighbours neighbours =
                workers.computeIfAbsent(
                        report.getWorker().getWorkerId(), absent -> new Neighbours());
        neighbours.average(filling, nowMillis);
        estimates.observe(serving, neighbours.filling).ifPresent(neighbours::observed);
    }

    /** Pressure that filling tasks on a worker may have in all. */
    double bearablePressure(String workerId) {
        Neighbours neighbours = workers.get(workerId);
        return neighbours == null ? USUAL_BEARABLE : neighbours.bearable;
    }

    double pressure(String image) {
        return estimates.pressure(image);
    }

    /** The pressures of the filling images among some runs. */
    List<ImagePressure> pressures(Iterable<StepDefinition> steps) {
        Set<String> images = new HashSet<>();
        for (StepDefinition step : steps) {
            boolean fills = StepEstimates.loadKind(step) == WaitingTask.LoadKind.FILLING;
            if (fills) {
                images.add(step.getImage());
            }
        }
        return images.stream()
                .map(
                        image ->
                                ImagePressure.newBuilder()
                                        .setImage(image)
                                        .setPressure(pressure(image))
                                        .build())
                .toList();
    }

    /** Forgets what the workers ran; what was learned of images stays true. */
    void clear() {
        workers.clear();
    }
}
