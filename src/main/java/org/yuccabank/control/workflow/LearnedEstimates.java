package org.yuccabank.control.workflow;

import java.util.Map;
import org.yuccabank.policy.workflow.Pressures;

/** Estimates that the leader has learned from previous runs. Confined to the replica thread. */
interface LearnedEstimates extends RunTimeEstimates {

    /**
     * Returns the pressures of best-effort images on serving images.
     *
     * @return the pressures learned so far
     */
    Pressures pressures();

    /**
     * Returns the current pressure limits of the serving tasks of a worker.
     *
     * @param workerId the worker
     * @return for each serving image with latency samples, the maximum total pressure of
     *     best-effort tasks
     */
    Map<String, Double> pressureLimits(String workerId);
}
