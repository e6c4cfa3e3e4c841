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

    private final String workerId;
    private final String service;
    private final String rack;
    private final Set<String> labels;
    private final Resources capacity;
    private final Map<String, Integer> tasksOfStep = new HashMap<>();
    private Resources free;
    private int serving;
    private double pressure;
    private double bearablePressure = Double.MAX_VALUE;
    private long usedMillis;
    private int tasks;
    private boolean probed;

    /**
     * Creates the room of an empty worker.
     *
     * @param workerId identifier of the worker
     * @param service service that the worker belongs to
     * @param rack rack of the worker
     * @param labels labels of the worker
     * @param capacity everything it has
     */
    public WorkerRoom(
            String workerId, String service, String rack, Set<String> labels, Resources capacity) {
        this.workerId = workerId;
        this.service = service;
        this.rack = rack;
        this.labels = Set.copyOf(labels);
        this.capacity = capacity;
        this.free = capacity;
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
        tasksOfStep.merge(stepKey, 1, Integer::sum);
        serving += load.kind() == WaitingTask.LoadKind.SERVING ? 1 : 0;
        pressure += load.pressure();
        usedMillis += load.usedMillis();
    }

    /**
     * Sets the pressure that the serving tasks of the worker bear now; without it, any.
     *
     * @param limit the greatest sum of the pressures of filling tasks
     */
    public void bear(double limit) {
        bearablePressure = limit;
    }

    /**
     * Pressure that may be added for the serving tasks of the worker.
     *
     * @return the sum of pressures, below 0 if there is too much already
     */
    public double bearableMore() {
        return serving == 0 ? Double.MAX_VALUE : bearablePressure - pressure;
    }

    /** Lets the worker have one task at a time. */
    public void limitToProbe() {
        probed = true;
    }

    /**
     * Tells whether a task may run here.
     *
     * @param task the task
     * @return true if every constraint holds and there is room
     */
    public boolean admits(WaitingTask task) {
        WaitingTask.Constraints constraints = task.constraints();
        return !(probed && tasks > 0)
                && constraints.service().equals(service)
                && constraints.requiredLabel().map(labels::contains).orElse(true)
                && (constraints.mostPerWorker() == 0
                        || tasksOfStep.getOrDefault(task.stepKey(), 0)
                                < constraints.mostPerWorker())
                && fits(task.resources());
    }

    private boolean fits(Resources wanted) {
        return wanted.processorMillis() <= free.processorMillis()
                && wanted.memoryMebibytes() <= free.memoryMebibytes()
                && wanted.accelerators() <= free.accelerators();
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
     * Serving tasks on the worker.
     *
     * @return the count
     */
    public int serving() {
        return serving;
    }

    /**
     * Pressure of the filling tasks on the worker.
     *
     * @return the sum of their pressures at full speed
     */
    public double pressure() {
        return pressure;
    }

    /**
     * Processors that the tasks on the worker are expected to leave unused.
     *
     * @return thousandths of a core, below 0 if they want more than it has
     */
    public long idleMillis() {
        return capacity.processorMillis() - usedMillis;
    }
}
