package org.yuccabank.policy.workflow;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.yuccabank.model.Resources;

/**
 * What a worker offers while a round of placements is planned.
 *
 * <p>Invariant: the reservations never exceed the capacity through {@link #reserve}. Not
 * thread-safe.
 */
public final class WorkerRoom {

    /** Pressure above which several tasks share the headroom. */
    private static final double NOTICEABLE_PRESSURE = 0.08;

    /** Headroom of serving tasks at their mean load, where no figures are known. */
    private static final double DEFAULT_PRESSURE_LIMIT = 0.3;

    private final String workerId;
    private final String service;
    private final String rack;
    private final Set<String> labels;
    private final Resources capacity;
    private final Map<String, Integer> taskCountByStep = new HashMap<>();
    private Resources free;
    private int servingCount;
    private boolean antiAffinity;
    private final Pressures pressures;
    private final Map<String, Double> pressureLimits = new HashMap<>();
    private final Map<String, Integer> bestEffortCounts = new HashMap<>();

    /** Pressure on each serving image that is here; kept up to date, as it is asked for often. */
    private final Map<String, Double> pressureByServingImage = new HashMap<>();

    private long expectedProcessorMillis;
    private int tasks;
    private boolean probeOnly;

    /**
     * Creates the room of an empty worker.
     *
     * @param workerId identifier of the worker
     * @param service service that the worker belongs to
     * @param rack rack of the worker
     * @param labels labels of the worker
     * @param capacity everything it has
     * @param pressures how much filling images press on serving ones
     */
    public WorkerRoom(
            String workerId,
            String service,
            String rack,
            Set<String> labels,
            Resources capacity,
            Pressures pressures) {
        this.workerId = workerId;
        this.service = service;
        this.rack = rack;
        this.labels = Set.copyOf(labels);
        this.capacity = capacity;
        this.free = capacity;
        this.pressures = pressures;
    }

    /**
     * Reserves room for a task, whether it fits or not.
     *
     * @param stepKey step of the task
     * @param resources what it reserves
     * @param load how it affects others
     */
    public void reserve(String stepKey, Resources resources, WaitingTask.Load load) {
        free = free.minus(resources);
        tasks++;
        taskCountByStep.merge(stepKey, 1, Integer::sum);
        expectedProcessorMillis += load.expectedProcessorMillis();
        switch (load.kind()) {
            case SERVING -> {
                servingCount++;
                antiAffinity |= load.antiAffinity();
                pressureByServingImage.computeIfAbsent(load.image(), this::pressureOn);
            }
            case FILLING -> {
                bestEffortCounts.merge(load.image(), 1, Integer::sum);
                pressureByServingImage.replaceAll(
                        (image, sum) -> sum + pressures.of(image, load.image()));
            }
            default -> {
                // Plain tasks do not press.
            }
        }
    }

    /**
     * Sets the pressure that serving tasks of an image bear now.
     *
     * @param servingImage the image
     * @param limit the greatest sum of the pressures of filling tasks
     */
    public void setPressureLimit(String servingImage, double limit) {
        pressureLimits.put(servingImage, limit);
    }

    /**
     * Pressure of the filling tasks here on serving tasks of an image.
     *
     * @param servingImage the image
     * @return the sum of their pressures at full speed
     */
    public double pressureOn(String servingImage) {
        return bestEffortCounts.entrySet().stream()
                .mapToDouble(each -> each.getValue() * pressures.of(servingImage, each.getKey()))
                .sum();
    }

    /**
     * The greatest pressure of one more filling task on any serving task here.
     *
     * @param bestEffortImage image of the filling task
     * @return the pressure, 0 without serving tasks
     */
    public double maxAddedPressure(String bestEffortImage) {
        double max = 0;
        for (String image : pressureByServingImage.keySet()) {
            max = Math.max(max, pressures.of(image, bestEffortImage));
        }
        return max;
    }

    /**
     * Headroom that is left for serving tasks once a filling task has joined them.
     *
     * @param bestEffortImage image of the filling task
     * @param speed share of its speed
     * @return the least headroom of any serving task, below 0 if the task should not join
     */
    public double headroomWith(String bestEffortImage, double speed) {
        double min = Double.MAX_VALUE;
        for (Map.Entry<String, Double> each : pressureByServingImage.entrySet()) {
            double headroom =
                    pressureLimits.getOrDefault(each.getKey(), DEFAULT_PRESSURE_LIMIT)
                            - each.getValue()
                            - speed * pressures.of(each.getKey(), bestEffortImage);
            min = Math.min(min, headroom);
        }
        return min;
    }

    /**
     * Tells whether filling tasks press on a serving task noticeably.
     *
     * @return true if they do
     */
    public boolean hasNoticeablePressure() {
        return pressureByServingImage.values().stream().anyMatch(sum -> sum >= NOTICEABLE_PRESSURE);
    }

    /** Lets the worker have one task at a time. */
    public void limitToProbe() {
        probeOnly = true;
    }

    /**
     * Tells whether a task may run here.
     *
     * @param task the task
     * @return true if every constraint holds and there is room
     */
    public boolean admits(WaitingTask task) {
        WaitingTask.Constraints constraints = task.constraints();
        return !(probeOnly && tasks > 0)
                && constraints.service().equals(service)
                && constraints.requiredLabel().map(labels::contains).orElse(true)
                && (constraints.maxPerWorker() == 0
                        || taskCountByStep.getOrDefault(task.stepKey(), 0)
                                < constraints.maxPerWorker())
                && fits(task.resources());
    }

    private boolean fits(Resources requested) {
        return requested.processorMillis() <= free.processorMillis()
                && requested.memoryMebibytes() <= free.memoryMebibytes()
                && requested.accelerators() <= free.accelerators();
    }

    /**
     * Share of the processors that is not reserved.
     *
     * @return 0 to 1, below 0 if the worker is overcommitted
     */
    public double freeShare() {
        return capacity.processorMillis() == 0
                ? 0
                : (double) free.processorMillis() / capacity.processorMillis();
    }

    /**
     * Identifier of the worker.
     *
     * @return the identifier
     */
    public String workerId() {
        return workerId;
    }

    /**
     * Rack of the worker.
     *
     * @return the rack
     */
    public String rack() {
        return rack;
    }

    /**
     * Tells whether a serving task of an image is here.
     *
     * @param servingImage the image
     * @return true if one is here
     */
    public boolean serves(String servingImage) {
        return pressureByServingImage.containsKey(servingImage);
    }

    /**
     * Tells whether a serving task is here whose step may not run together.
     *
     * @return true if one is here
     */
    public boolean hasAntiAffinity() {
        return antiAffinity;
    }

    /**
     * Serving tasks on the worker.
     *
     * @return the count
     */
    public int servingCount() {
        return servingCount;
    }

    /**
     * Processors that the tasks on the worker are expected to leave unused.
     *
     * @return thousandths of a core, below 0 if they want more than it has
     */
    public long idleProcessorMillis() {
        return capacity.processorMillis() - expectedProcessorMillis;
    }
}
