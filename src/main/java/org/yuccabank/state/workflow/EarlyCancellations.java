package org.yuccabank.state.workflow;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.yuccabank.state.generated.EarlyCancellation;

/**
 * Cancellations of workflows that were not known when they were cancelled. A submission may still
 * be under way then, as its sender was suspended or a connection is slow, and must not be accepted
 * after its cancellation was acknowledged.
 *
 * <p>Invariants: a cancellation is kept for {@link #RETENTION_MILLIS} unless {@link #MAXIMUM_COUNT}
 * later ones follow; the same commands with the same times give the same records. Not thread-safe.
 */
final class EarlyCancellations {

    /**
     * Time for which a submission may be under way. Machines are suspended for up to 10 s and
     * callers wait for seconds; the rest is a margin for clocks that are stepped.
     */
    static final long RETENTION_MILLIS = 120_000;

    /** Bounds the memory of the replicas, at about 100 bytes a record. */
    static final int MAXIMUM_COUNT = 10_000;

    private final Map<String, Long> cancelledAtMillis = new LinkedHashMap<>();

    /** Records a cancellation; the first one of a workflow counts. */
    void record(String workflowId, long nowMillis) {
        if (!contains(workflowId, nowMillis)) {
            // Removed first, so that the record moves to the end.
            cancelledAtMillis.remove(workflowId);
            cancelledAtMillis.put(workflowId, nowMillis);
        }
        removeOldest(nowMillis);
    }

    /** Removes expired records, the oldest first, and those beyond the maximum count. */
    private void removeOldest(long nowMillis) {
        Iterator<Long> oldest = cancelledAtMillis.values().iterator();
        while (oldest.hasNext()
                && (isExpired(oldest.next(), nowMillis)
                        || cancelledAtMillis.size() > MAXIMUM_COUNT)) {
            oldest.remove();
        }
    }

    /** Returns whether a workflow was cancelled within the retention time. */
    boolean contains(String workflowId, long nowMillis) {
        Long cancelledAt = cancelledAtMillis.get(workflowId);
        return cancelledAt != null && !isExpired(cancelledAt, nowMillis);
    }

    private static boolean isExpired(long cancelledAt, long nowMillis) {
        return nowMillis - cancelledAt > RETENTION_MILLIS;
    }

    /** Returns all records for a snapshot, the oldest first. */
    List<EarlyCancellation> toRecords() {
        return cancelledAtMillis.entrySet().stream()
                .map(
                        each ->
                                EarlyCancellation.newBuilder()
                                        .setWorkflowId(each.getKey())
                                        .setCancelledAtMillis(each.getValue())
                                        .build())
                .toList();
    }

    /** Adds the records of a snapshot. */
    void restore(List<EarlyCancellation> records) {
        records.forEach(
                each -> cancelledAtMillis.put(each.getWorkflowId(), each.getCancelledAtMillis()));
    }
}
