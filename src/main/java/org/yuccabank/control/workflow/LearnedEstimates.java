package org.yuccabank.control.workflow;

/** What the leader has learned from runs so far. Confined to the thread of the replica. */
interface LearnedEstimates {

    /**
     * Run times of a queue against their declared estimates.
     *
     * @param queueName the queue
     * @return the ratio, 1 before any run was done
     */
    double runTimeRatio(String queueName);

    /**
     * Pressure of a filling image, see {@link org.yuccabank.policy.workflow.PressureEstimates}.
     *
     * @param image the image
     * @return part of the headroom of serving tasks that one task takes at full speed
     */
    double pressure(String image);

    /**
     * Pressure that the serving tasks of a worker bear now.
     *
     * @param workerId the worker
     * @return the sum of the pressures that filling tasks may have there
     */
    double bearablePressure(String workerId);
}
