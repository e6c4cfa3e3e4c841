package org.yuccabank.agent;

import java.util.List;
import org.yuccabank.model.Resources;

/**
 * The response of the worker to {@code GET /v1/worker}. Immutable.
 *
 * @param capacity capacity of the host
 * @param serviceReservation part of the capacity reserved for the service instance
 * @param usage resources in use on the host
 * @param usageAgeMillis age of the usage figures
 * @param newestToken greatest fencing token that the worker has received
 * @param tasks running and recently ended tasks
 */
record WorkerState(
        Resources capacity,
        Resources serviceReservation,
        Resources usage,
        long usageAgeMillis,
        long newestToken,
        List<WorkerTask> tasks) {}
