package org.yuccabank.control.workflow;

import java.util.Map;
import org.yuccabank.policy.workflow.Pressures;

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
     * How much filling images press on serving ones.
     *
     * @return the pressures learned so far
     */
    Pressures pressures();

    /**
     * Pressure that the serving tasks of a worker bear now.
     *
     * @param workerId the worker
     * @return for each serving image with figures, the sum of the pressures that filling tasks may
     *     have there
     */
    Map<String, Double> pressureHeadroom(String workerId);
}
