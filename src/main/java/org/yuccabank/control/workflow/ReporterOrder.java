package org.yuccabank.control.workflow;

import java.util.OptionalLong;
import org.yuccabank.protocol.generated.WorkerReport;

/**
 * Orders the reports of successive agent processes of one host under one leader.
 *
 * <p>A report that a killed process has sent may arrive after the first one of its successor, which
 * may have renewed leases and started runs since. Each report states the newest directives that its
 * process had received. A process that knows directives newer than all that were sent to others is
 * the successor of these others, so what it has promised or given up still holds. This needs no
 * clock: the time of day jumps, and the worker's clock may be known to a new process only from an
 * announcement that is older than the last report of its predecessor.
 *
 * <p>Invariant: no claim is relied on that was made before this leader's term or before the newest
 * directives to another process of the host. Confined to the replica thread.
 */
final class ReporterOrder {

    private final long term;
    private OptionalLong reporterId = OptionalLong.empty();
    private long sentNumber;
    private long requiredNumber;
    private boolean repeated;

    ReporterOrder(long term) {
        this.term = term;
    }

    /** Records that a report was processed. */
    void recordReport(WorkerReport report) {
        OptionalLong previousId = reporterId;
        reporterId = OptionalLong.of(report.getReporterId());
        repeated = reporterId.equals(previousId);
        if (!repeated) {
            requiredNumber = sentNumber;
        }
    }

    /** Records the number of directives that were sent to the process that reported last. */
    void recordSent(long number) {
        sentNumber = number;
    }

    /**
     * Returns whether the lease that the latest report states is an upper bound. An agent of an
     * earlier release does not state what it knew, so its statement is not relied on.
     */
    boolean isLeaseReliable(WorkerReport latest) {
        return latest.hasKnownTerm()
                && latest.getKnownTerm() == term
                && latest.getKnownNumber() >= requiredNumber;
    }

    /**
     * Returns whether a run that the latest report gives up is not started by another process. For
     * an agent of an earlier release this is assumed once the same process has reported twice.
     */
    boolean isGivingUpReliable(WorkerReport latest) {
        return latest.hasKnownTerm() ? isLeaseReliable(latest) : repeated;
    }
}
