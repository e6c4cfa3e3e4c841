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
import org.yuccabank.protocol.generated.RunAddress;
import org.yuccabank.protocol.generated.StepDefinition;
import org.yuccabank.protocol.generated.WorkerReport;
import org.yuccabank.state.workflow.WorkflowRecords;

/**
 * Learns from the reports of workers how much each filling image presses on serving tasks. Confined
 * to the thread of the replica; times are those of a steady clock.
 */
final class InterferenceWatch {

    private static final double WHOLE = 100.0;

    /** A figure covers the last half second, in which the filling tasks must not have changed. */
    private static final long SETTLED_MILLIS = 600;

    private final PressureEstimates estimates = new PressureEstimates();
    private final Map<String, Mix> mixes = new HashMap<>();

    /** Filling runs of a worker with their speeds, and since when they are the same. */
    private record Mix(Map<RunAddress, Integer> slowed, long sinceMillis) {}

    /** Takes the list of a worker. */
    void report(WorkerReport report, WorkflowRecords records, long nowMillis) {
        report.getPressuresList()
                .forEach(each -> estimates.learn(each.getImage(), each.getPressure()));
        List<PressureEstimates.Serving> serving = new ArrayList<>();
        Map<String, Double> filling = new HashMap<>();
        Map<RunAddress, Integer> slowed = new HashMap<>();
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
                    slowed.put(run.getRun(), run.getSlowedByPercent());
                    filling.merge(
                            step.getImage(), 1 - run.getSlowedByPercent() / WHOLE, Double::sum);
                }
                case PLAIN -> {
                    // Plain tasks do not press.
                }
            }
        }
        String workerId = report.getWorker().getWorkerId();
        Mix before = mixes.get(workerId);
        if (before == null || !before.slowed().equals(slowed)) {
            mixes.put(workerId, new Mix(slowed, nowMillis));
        } else if (nowMillis - before.sinceMillis() >= SETTLED_MILLIS) {
            estimates.observe(serving, filling);
        }
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
        mixes.clear();
    }
}
