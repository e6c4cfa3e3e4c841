package org.yuccabank.control.workflow;

/** Supplies expected run times. Confined to the replica thread. */
@FunctionalInterface
interface RunTimeEstimates {

    /**
     * Returns the expected duration of a full run.
     *
     * @param queueName queue of the workflow
     * @param stepKey step of the run, empty for a workflow that is not yet accepted
     * @param declaredMillis declared estimate of the duration
     * @return the duration in milliseconds
     */
    double runMillis(String queueName, String stepKey, long declaredMillis);
}
