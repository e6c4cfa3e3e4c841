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
    static final long FULL_MILLIS = 30_000;

    /** Size up to which a delta is filled with usage of unchanged tasks. */
    static final int REFRESH_BYTES = 1_000;

    private static final int CLAIM_BYTES = 64 << 10;
    private static final int REMEMBERED_SEQUENCES = 128;

    private final AgentConfiguration configuration;
    private final long incarnation;
    private final Map<Long, Long> sentAt = new LinkedHashMap<>();
    private long sequence;
    private long acknowledged;
    private long lastFullMillis = Long.MIN_VALUE / 2;
    private long nextMillis;
    private long hostChangedAt;
    private int nextRefresh;
    private boolean fullWanted = true;

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
        hostChangedAt = nextSequence();
    }

    /** Makes the next report a full one. */
    void wantFull() {
        fullWanted = true;
    }

    /** Asks for a report with the next tick. */
    void hasten() {
        nextMillis = 0;
    }

    boolean isDue(long nowMillis) {
        return nowMillis >= nextMillis;
    }

    /** Time at which a report was sent; empty if it is unknown or too long ago. */
    Optional<Long> sentAt(long reportSequence) {
        return Optional.ofNullable(sentAt.get(reportSequence));
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
                && tasks.stream().allMatch(task -> task.changedAt <= acknowledged);
    }

    /** Builds the next report. */
    AgentReport build(ReportSource source, long nowMillis) {
        boolean full = fullWanted || nowMillis - lastFullMillis >= FULL_MILLIS;
        sequence = nextSequence();
        AgentReport.Builder report =
                AgentReport.newBuilder()
                        .setHostId(configuration.hostId())
                        .setIncarnation(incarnation)
                        .setSequence(sequence)
                        .setFull(full);
        source.writeUsage(report);
        if (full || hostChangedAt > acknowledged) {
            source.writeHost(report);
        }
        if (full) {
            lastFullMillis = nowMillis;
            fullWanted = false;
            report.setDataCentre(configuration.dataCentre()).setRack(configuration.rack());
            source.tasks().forEach(task -> report.addTasks(task.toMessage()));
        } else {
            addChanges(report, new ArrayList<>(source.tasks()));
        }
        report.addAllClaimOutcomes(source.claims().due(sequence, nowMillis, CLAIM_BYTES));
        remember(nowMillis);
        return report.build();
    }

    private void addChanges(AgentReport.Builder report, List<AgentTask> tasks) {
        List<AgentTask> unchanged = new ArrayList<>();
        for (AgentTask task : tasks) {
            if (task.changedAt > acknowledged) {
                report.addTasks(task.toMessage());
            } else if (task.isActive()) {
                unchanged.add(task);
            }
        }
        int size = report.buildPartial().getSerializedSize();
        for (int count = 0; count < unchanged.size() && size < REFRESH_BYTES; count++) {
            AgentTask task = unchanged.get(Math.floorMod(nextRefresh++, unchanged.size()));
            var message = task.toMessage();
            size += message.getSerializedSize() + 2;
            report.addTasks(message);
        }
    }

    private void remember(long nowMillis) {
        long interval = configuration.limits().reportIntervalMillis();
        // Counted from when this report was due, so that ticks do not make the interval longer.
        nextMillis = Math.max(nextMillis + interval, nowMillis + interval / 2);
        sentAt.put(sequence, nowMillis);
        if (sentAt.size() > REMEMBERED_SEQUENCES) {
            sentAt.remove(sentAt.keySet().iterator().next());
        }
    }
}
