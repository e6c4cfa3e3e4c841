package org.yuccabank.agent;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.yuccabank.protocol.generated.AgentReport;

/**
 * Builds the reports to control and remembers when each was sent.
 *
 * <p>A delta holds every change since the newest acknowledged report, so that the loss of a report
 * loses no change. Usage and progress of unchanged tasks go in turn into what is left of {@link
 * #REFRESH_BYTES}. Sequences begin at the incarnation, so that directives to an earlier incarnation
 * are recognised. Not thread-safe.
 */
final class Reporter {

    /** Time between two full reports. */
    static final long FULL_REPORT_INTERVAL_MILLIS = 30_000;

    /** Size up to which a delta is filled with usage of unchanged tasks. */
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

    /** Sequence of the report that will carry a change made now. */
    long nextSequence() {
        return sequence + 1;
    }

    void markHostChanged() {
        hostChangedSequence = nextSequence();
    }

    /** Makes the next report a full one. */
    void requestFullReport() {
        fullReportRequested = true;
    }

    /** Asks for a report with the next tick. */
    void requestReport() {
        nextReportMillis = 0;
    }

    boolean isDue(long nowMillis) {
        return nowMillis >= nextReportMillis;
    }

    /** Time at which a report was sent; empty if it is unknown or too long ago. */
    Optional<Long> sentAtMillis(long reportSequence) {
        return Optional.ofNullable(sentAtMillis.get(reportSequence));
    }

    /** Takes an acknowledgement; returns false if it is older than another one. */
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

    /** Tells whether control has acknowledged the newest report and nothing has changed since. */
    boolean isSettled(Collection<AgentTask> tasks) {
        return acknowledged == sequence
                && tasks.stream().allMatch(task -> task.changedSequence <= acknowledged);
    }

    /** Builds the next report. */
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
        // Counted from when this report was due, so that ticks do not make the interval longer.
        nextReportMillis = Math.max(nextReportMillis + interval, nowMillis + interval / 2);
        sentAtMillis.put(sequence, nowMillis);
        if (sentAtMillis.size() > TRACKED_REPORTS) {
            sentAtMillis.remove(sentAtMillis.keySet().iterator().next());
        }
    }
}
