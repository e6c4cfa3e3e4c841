package org.yuccabank.agent;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.yuccabank.protocol.generated.AgentReport;

/**
 * Builds the reports to control and records when each was sent.
 *
 * <p>A delta report contains every change since the newest acknowledged report, so that a lost
 * report loses no change. Unchanged tasks fill it up to {@link #REFRESH_BYTES} in round-robin
 * order, to refresh their usage and progress. Sequences start at the incarnation, so that
 * directives to an earlier incarnation are recognised. Not thread-safe.
 */
final class Reporter {

    /** Interval between full reports. */
    static final long FULL_REPORT_INTERVAL_MILLIS = 30_000;

    /** Size up to which a delta report is filled with unchanged tasks. */
    static final int REFRESH_BYTES = 1_000;

    private static final int MAXIMUM_CLAIM_BYTES = 64 << 10;
    private static final int TRACKED_REPORTS = 128;

    private final AgentConfiguration configuration;
    private final long incarnation;
    private final Map<Long, Long> sentAtMillis = new LinkedHashMap<>();
    private long sequence;
    private long acknowledged;
    private long lastFullMillis = Long.MIN_VALUE / 2;
    private long nextReportMillis;
    private long hostChangedSequence;
    private int nextRefreshIndex;
    private boolean fullReportRequested = true;

    Reporter(AgentConfiguration configuration, long incarnation) {
        this.configuration = configuration;
        this.incarnation = incarnation;
        this.sequence = incarnation;
        this.acknowledged = incarnation;
    }

    /** Returns the sequence of the next report, the first to contain a change made now. */
    long nextSequence() {
        return sequence + 1;
    }

    void markHostChanged() {
        hostChangedSequence = nextSequence();
    }

    /** Requests that the next report is a full one. */
    void requestFullReport() {
        fullReportRequested = true;
    }

    /** Makes a report due at the next tick. */
    void requestReport() {
        nextReportMillis = 0;
    }

    boolean isDue(long nowMillis) {
        return nowMillis >= nextReportMillis;
    }

    /** Returns the time at which a report was sent, empty if the report is no longer tracked. */
    Optional<Long> sentAtMillis(long reportSequence) {
        return Optional.ofNullable(sentAtMillis.get(reportSequence));
    }

    /**
     * Records an acknowledgement.
     *
     * @return false if it is older than a previous one or the report was never sent
     */
    boolean acknowledge(long reportSequence) {
        if (reportSequence < acknowledged || reportSequence > sequence) {
            return false;
        }
        acknowledged = reportSequence;
        return true;
    }

    long acknowledged() {
        return acknowledged;
    }

    /** Returns whether control has acknowledged the newest report and no task changed since. */
    boolean isSettled(Collection<AgentTask> tasks) {
        return acknowledged == sequence
                && tasks.stream().allMatch(task -> task.changedSequence <= acknowledged);
    }

    /** Builds the next report and records it as sent. */
    AgentReport build(ReportSource source, long nowMillis) {
        boolean full =
                fullReportRequested || nowMillis - lastFullMillis >= FULL_REPORT_INTERVAL_MILLIS;
        sequence = nextSequence();
        AgentReport.Builder report =
                AgentReport.newBuilder()
                        .setHostId(configuration.hostId())
                        .setIncarnation(incarnation)
                        .setSequence(sequence)
                        .setFull(full);
        source.writeUsage(report);
        if (full || hostChangedSequence > acknowledged) {
            source.writeHost(report);
        }
        if (full) {
            lastFullMillis = nowMillis;
            fullReportRequested = false;
            report.setDataCentre(configuration.dataCentre()).setRack(configuration.rack());
            source.tasks().forEach(task -> report.addTasks(task.toMessage()));
        } else {
            addChanges(report, new ArrayList<>(source.tasks()));
        }
        report.addAllClaimOutcomes(
                source.claims().takeDue(sequence, nowMillis, MAXIMUM_CLAIM_BYTES));
        recordSent(nowMillis);
        return report.build();
    }

    private void addChanges(AgentReport.Builder report, List<AgentTask> tasks) {
        List<AgentTask> unchanged = new ArrayList<>();
        for (AgentTask task : tasks) {
            if (task.changedSequence > acknowledged) {
                report.addTasks(task.toMessage());
            } else if (task.isActive()) {
                unchanged.add(task);
            }
        }
        int size = report.buildPartial().getSerializedSize();
        for (int count = 0; count < unchanged.size() && size < REFRESH_BYTES; count++) {
            AgentTask task = unchanged.get(Math.floorMod(nextRefreshIndex++, unchanged.size()));
            var message = task.toMessage();
            size += message.getSerializedSize() + 2;
            report.addTasks(message);
        }
    }

    private void recordSent(long nowMillis) {
        long interval = configuration.limits().reportIntervalMillis();
        // Relative to the due time of this report, so that tick granularity adds no delay.
        nextReportMillis = Math.max(nextReportMillis + interval, nowMillis + interval / 2);
        sentAtMillis.put(sequence, nowMillis);
        if (sentAtMillis.size() > TRACKED_REPORTS) {
            sentAtMillis.remove(sentAtMillis.keySet().iterator().next());
        }
    }
}
