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
 * A task that waits for placement. Immutable.
 *
 * @param task the task
 * @param job the job that the task belongs to
 * @param account the account to which its usage is charged
 * @param kind kind of work
 * @param urgent true if the task is latency-critical
 * @param reservation resources to reserve, either the declared size or an estimate from usage
 * @param dataCentre required data centre, empty for any
 * @param excludedHosts hosts that must not be selected, for example because the job failed there
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

    /** Validates the components. */
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
     * Returns a copy with another reservation.
     *
     * @param newReservation resources to reserve
     * @return the copy
     */
    public TaskRequest withReservation(Resources newReservation) {
        return new TaskRequest(
                task, job, account, kind, urgent, newReservation, dataCentre, excludedHosts);
    }
}
