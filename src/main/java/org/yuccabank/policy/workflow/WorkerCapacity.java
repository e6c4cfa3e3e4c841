package org.yuccabank.policy.workflow;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalInt;
import java.util.Set;
import org.yuccabank.model.Resources;

/**
 * Free capacity and latency headroom of a worker during a planning round.
 *
 * <p>{@link #reserve} does not check the capacity; callers check {@link #admits} first, so that
 * reservations of planned tasks never exceed it. Not thread-safe.
 */
public final class WorkerCapacity {

    /** Pressure from which a worker counts as having an interfering task already. */
    private static final double NOTICEABLE_PRESSURE = 0.08;

    /**
     * Pressure limit of an image without latency samples: the headroom of serving tasks at their
     * mean load.
     */
    private static final double DEFAULT_PRESSURE_LIMIT = 0.3;

    private final String workerId;
    private final String service;
    private final String rack;
    private final Set<String> labels;
    private final Resources capacity;
    private final Map<String, Integer> taskCountByStep = new HashMap<>();
    private Resources free;
    private Resources lasting = Resources.none();
    private int servingCount;
    private boolean antiAffinity;
    private final Pressures pressures;
    private final Map<String, Double> pressureLimits = new HashMap<>();
    private final Map<String, Integer> bestEffortCounts = new HashMap<>();

    /** Pressure on each serving image on this worker; cached because it is read often. */
    private final Map<String, Double> pressureByServingImage = new HashMap<>();

    private long expectedProcessorMillis;
    private int tasks;
    private OptionalInt newTasksLeft = OptionalInt.empty();

    /**
     * Creates the capacity of a worker without tasks.
     *
     * @param workerId identifier of the worker
     * @param service service that the worker belongs to
     * @param rack rack of the worker
     * @param labels labels of the worker
     * @param capacity total resources of the worker
     * @param pressures pressure of best-effort images on serving images
     */
    public WorkerCapacity(
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
     * Returns a copy for a trial placement.
     *
     * @return a copy that shares nothing mutable with this instance
     */
    public WorkerCapacity copy() {
        WorkerCapacity copy =
                new WorkerCapacity(workerId, service, rack, labels, capacity, pressures);
        copy.taskCountByStep.putAll(taskCountByStep);
        copy.free = free;
        copy.lasting = lasting;
        copy.servingCount = servingCount;
        copy.antiAffinity = antiAffinity;
        copy.pressureLimits.putAll(pressureLimits);
        copy.bestEffortCounts.putAll(bestEffortCounts);
        copy.pressureByServingImage.putAll(pressureByServingImage);
        copy.expectedProcessorMillis = expectedProcessorMillis;
        copy.tasks = tasks;
        copy.newTasksLeft = newTasksLeft;
        return copy;
    }

    /**
     * Reserves resources for a task, even if they exceed the free capacity.
     *
     * @param stepKey step of the task
     * @param resources resources to reserve
     * @param load effect of the task on others
     */
    public void reserve(String stepKey, Resources resources, WaitingTask.Load load) {
        free = free.minus(resources);
        if (newTasksLeft.isPresent()) {
            newTasksLeft = OptionalInt.of(newTasksLeft.getAsInt() - 1);
        }
        tasks++;
        taskCountByStep.merge(stepKey, 1, Integer::sum);
        expectedProcessorMillis += load.expectedProcessorMillis();
        switch (load.kind()) {
            case SERVING -> {
                servingCount++;
                lasting = lasting.plus(resources);
                antiAffinity |= load.antiAffinity();
                pressureByServingImage.computeIfAbsent(load.image(), this::pressureOn);
            }
            case BEST_EFFORT -> {
                bestEffortCounts.merge(load.image(), 1, Integer::sum);
                pressureByServingImage.replaceAll(
                        (image, sum) -> sum + pressures.pressure(image, load.image()));
            }
            default -> {
                // Plain tasks exert no pressure.
            }
        }
    }

    /**
     * Sets the current pressure limit of the serving tasks of an image.
     *
     * @param servingImage the image
     * @param limit maximum total pressure of best-effort tasks
     */
    public void setPressureLimit(String servingImage, double limit) {
        pressureLimits.put(servingImage, limit);
    }

    /**
     * Returns the total pressure of the worker's best-effort tasks on serving tasks of an image.
     *
     * @param servingImage the image
     * @return the sum of their pressures at full speed
     */
    public double pressureOn(String servingImage) {
        return bestEffortCounts.entrySet().stream()
                .mapToDouble(
                        each -> each.getValue() * pressures.pressure(servingImage, each.getKey()))
                .sum();
    }

    /**
     * Returns the maximum pressure of another best-effort task on any serving task of the worker.
     *
     * @param bestEffortImage image of the best-effort task
     * @return the pressure, 0 without serving tasks
     */
    public double maximumAddedPressure(String bestEffortImage) {
        double maximum = 0;
        for (String image : pressureByServingImage.keySet()) {
            maximum = Math.max(maximum, pressures.pressure(image, bestEffortImage));
        }
        return maximum;
    }

    /**
     * Returns the least headroom of any serving task after adding a best-effort task.
     *
     * @param bestEffortImage image of the best-effort task
     * @param speed its speed as a share of full speed
     * @return the headroom, negative if the task should not be added; {@link Double#MAX_VALUE}
     *     without serving tasks
     */
    public double headroomWith(String bestEffortImage, double speed) {
        double minimum = Double.MAX_VALUE;
        for (Map.Entry<String, Double> each : pressureByServingImage.entrySet()) {
            double headroom =
                    pressureLimits.getOrDefault(each.getKey(), DEFAULT_PRESSURE_LIMIT)
                            - each.getValue()
                            - speed * pressures.pressure(each.getKey(), bestEffortImage);
            minimum = Math.min(minimum, headroom);
        }
        return minimum;
    }

    /**
     * Returns whether any serving task is under noticeable pressure from best-effort tasks.
     *
     * @return true if one is
     */
    public boolean hasNoticeablePressure() {
        return pressureByServingImage.values().stream().anyMatch(sum -> sum >= NOTICEABLE_PRESSURE);
    }

    /**
     * Limits the number of tasks that the worker may still receive, for a worker whose circuit
     * breaker is not closed. Tasks that are reserved already do not count.
     *
     * @param count number of further tasks
     */
    public void limitNewTasks(int count) {
        newTasksLeft = OptionalInt.of(count);
    }

    /**
     * Returns whether a task may be placed on this worker.
     *
     * @param task the task
     * @return true if all constraints hold and the reservation fits
     */
    public boolean admits(WaitingTask task) {
        WaitingTask.Constraints constraints = task.constraints();
        return newTasksLeft.orElse(1) > 0
                && constraints.service().equals(service)
                && constraints.requiredLabel().map(labels::contains).orElse(true)
                && (constraints.maximumPerWorker() == 0
                        || taskCountByStep.getOrDefault(task.stepKey(), 0)
                                < constraints.maximumPerWorker())
                && fits(task.resources());
    }

    /**
     * Returns how many tasks of a step this worker could run if nothing else ran on it but its
     * lasting tasks, which do not end.
     *
     * @param task one of the tasks
     * @param limit number of tasks from which the exact result does not matter
     * @return the number of tasks, at most the limit
     */
    public int roomWhenEmpty(WaitingTask task, int limit) {
        WorkerCapacity empty =
                new WorkerCapacity(workerId, service, rack, labels, capacity, pressures);
        empty.free = capacity.minus(lasting);
        empty.newTasksLeft = newTasksLeft;
        int room = 0;
        while (room < limit && empty.admits(task)) {
            empty.reserve(task.stepKey(), task.resources(), task.load());
            room++;
        }
        return room;
    }

    private boolean fits(Resources requested) {
        return requested.processorMillis() <= free.processorMillis()
                && requested.memoryMebibytes() <= free.memoryMebibytes()
                && requested.accelerators() <= free.accelerators();
    }

    /**
     * Returns the share of the processors that is not reserved.
     *
     * @return the share, 0 to 1, negative if the worker is overcommitted
     */
    public double freeShare() {
        return capacity.processorMillis() == 0
                ? 0
                : (double) free.processorMillis() / capacity.processorMillis();
    }

    /**
     * Returns the service that the worker belongs to.
     *
     * @return the service
     */
    public String service() {
        return service;
    }

    /**
     * Returns the identifier of the worker.
     *
     * @return the identifier
     */
    public String workerId() {
        return workerId;
    }

    /**
     * Returns the rack of the worker.
     *
     * @return the rack
     */
    public String rack() {
        return rack;
    }

    /**
     * Returns whether the worker runs a serving task of an image.
     *
     * @param servingImage the image
     * @return true if it does
     */
    public boolean serves(String servingImage) {
        return pressureByServingImage.containsKey(servingImage);
    }

    /**
     * Returns whether the worker runs a serving task with anti-affinity.
     *
     * @return true if it does
     */
    public boolean hasAntiAffinity() {
        return antiAffinity;
    }

    /**
     * Returns the number of serving tasks on the worker.
     *
     * @return the number of tasks
     */
    public int servingCount() {
        return servingCount;
    }

    /**
     * Returns the number of tasks on the worker.
     *
     * @return the number of tasks
     */
    public int taskCount() {
        return tasks;
    }

    /**
     * Returns the processors that the tasks on the worker are expected to leave idle.
     *
     * @return thousandths of a core, negative if the expected use exceeds the capacity
     */
    public long idleProcessorMillis() {
        return capacity.processorMillis() - expectedProcessorMillis;
    }
}
