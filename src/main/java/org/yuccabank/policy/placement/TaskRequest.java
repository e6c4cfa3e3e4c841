package org.yuccabank.policy.placement;

import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import org.yuccabank.model.AccountId;
import org.yuccabank.model.HostId;
import org.yuccabank.model.JobId;
import org.yuccabank.model.Resources;
import org.yuccabank.model.TaskId;
import org.yuccabank.model.WorkKind;

/**
 * A task that waits for a host. Immutable.
 *
 * @param task the task
 * @param job the job that the task belongs to
 * @param account the account that pays for it
 * @param kind kind of work
 * @param urgent true if the task is latency-critical
 * @param reservation resources to hold for the task; declared size or an estimate from usage
 * @param dataCentre data centre that the task needs, empty for any
 * @param excludedHosts hosts that must not be chosen, for example because the job failed there
 */
public record TaskRequest(
        TaskId task,
        JobId job,
        AccountId account,
        WorkKind kind,
        boolean urgent,
        Resources reservation,
        Optional<String> dataCentre,
        Set<HostId> excludedHosts) {

    /** Checks the parts. */
    public TaskRequest {
        Objects.requireNonNull(task, "task is null");
        Objects.requireNonNull(job, "job is null");
        Objects.requireNonNull(account, "account is null");
        Objects.requireNonNull(kind, "kind is null");
        Objects.requireNonNull(reservation, "reservation is null");
        Objects.requireNonNull(dataCentre, "dataCentre is null");
        excludedHosts = Set.copyOf(excludedHosts);
    }

    /**
     * A copy with another reservation.
     *
     * @param newReservation resources to hold for the task
     * @return the changed request
     */
    public TaskRequest withReservation(Resources newReservation) {
        return new TaskRequest(
                task, job, account, kind, urgent, newReservation, dataCentre, excludedHosts);
    }
}
