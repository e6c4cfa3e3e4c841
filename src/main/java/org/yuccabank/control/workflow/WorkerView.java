package org.yuccabank.control.workflow;

import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.yuccabank.model.FencingToken;
import org.yuccabank.policy.workflow.PressureEstimates;
import org.yuccabank.protocol.PeerConnection;
import org.yuccabank.protocol.generated.ActiveRun;
import org.yuccabank.protocol.generated.EndedRun;
import org.yuccabank.protocol.generated.Envelope;
import org.yuccabank.protocol.generated.ImagePressure;
import org.yuccabank.protocol.generated.RunAddress;
import org.yuccabank.protocol.generated.WorkerCrash;
import org.yuccabank.protocol.generated.WorkerDirectives;
import org.yuccabank.protocol.generated.WorkerIdentity;
import org.yuccabank.protocol.generated.WorkerReport;
import org.yuccabank.state.workflow.WorkflowRecords;

/**
 * State of the worker of one host as reported by the agent on that host. Confined to the replica
 * thread. Times are read from a monotonic clock.
 */
final class WorkerView {

    /**
     * Crash of a worker.
     *
     * @param crash the crash as the agent saw it
     * @param reportedAtMillis time of the first report that contained it
     * @param proven whether the next incarnation proves it; else the worker may be cut off
     */
    record ReportedCrash(WorkerCrash crash, long reportedAtMillis, boolean proven) {}

    /** A smaller change of a pressure has no effect on the speed of a task. */
    private static final double MINIMUM_PRESSURE_CHANGE = 0.01;

    /** Interval at which all pressures are sent again, because a message may have been lost. */
    private static final long PRESSURE_RESEND_MILLIS = 5_000;

    private final ReporterOrder reporters;
    private final long term;
    private WorkerReport report;
    private long incarnation;
    private Set<WorkerIdentity> earlierIncarnations = Set.of();
    private OptionalLong incarnationReportedAtMillis = OptionalLong.empty();
    private final Map<WorkerIdentity, ReportedCrash> earlierCrashes = new HashMap<>();
    private PeerConnection connection;
    private long leaseEndMillis;
    private long listedAtMillis = Long.MIN_VALUE / 2;
    private final Map<RunAddress, ActiveRun> active = new LinkedHashMap<>();
    private final Map<RunAddress, String> checkpoints = new HashMap<>();

    /** Checkpoints of the previous incarnation, whose runs end when the next one reports. */
    private final Map<RunAddress, String> previousCheckpoints = new HashMap<>();

    private final Map<PressureEstimates.ImagePair, Double> sentPressures = new HashMap<>();
    private long pressuresResetAtMillis = Long.MIN_VALUE / 2;

    WorkerView(WorkerReport report, long term) {
        this.report = report;
        this.term = term;
        reporters = new ReporterOrder(term);
    }

    /**
     * Updates the state from a report.
     *
     * @return false if the report is older than the latest one and was ignored
     */
    boolean update(
            WorkerReport newReport,
            PeerConnection newConnection,
            long nowMillis,
            LeaseBound lease) {
        boolean sameIncarnation = newReport.getWorker().equals(report.getWorker());
        if (newReport.getWorker().getBornMillis() < report.getWorker().getBornMillis()
                || isOutOfOrder(newReport)) {
            return false;
        }
        if (!sameIncarnation || incarnationReportedAtMillis.isEmpty()) {
            incarnationReportedAtMillis = OptionalLong.of(nowMillis);
        }
        if (!sameIncarnation) {
            incarnation++;
            previousCheckpoints.clear();
            previousCheckpoints.putAll(checkpoints);
            checkpoints.clear();
            listedAtMillis = Long.MIN_VALUE / 2;
        }
        if (newReport.getReporterId() != report.getReporterId()) {
            sentPressures.clear();
        }
        report = newReport;
        recordEarlierCrash(nowMillis);
        connection = newConnection;
        reporters.recordReport(newReport);
        leaseEndMillis =
                nowMillis
                        + (reporters.isLeaseReliable(newReport)
                                ? lease.millisAfter(newReport)
                                : lease.maximumMillis());
        active.clear();
        if (newReport.getListed()) {
            listedAtMillis = nowMillis;
            newReport.getActiveList().forEach(this::recordActive);
        }
        return true;
    }

    private void recordEarlierCrash(long nowMillis) {
        if (report.hasCrash() && !report.getCrash().getWorker().equals(worker())) {
            earlierCrashes.putIfAbsent(
                    report.getCrash().getWorker(),
                    new ReportedCrash(report.getCrash(), nowMillis, true));
        }
    }

    /** Returns whether a report was overtaken by a later one, whose state it must not overwrite. */
    private boolean isOutOfOrder(WorkerReport newReport) {
        return newReport.getReporterId() == report.getReporterId()
                && newReport.getSequence() < report.getSequence();
    }

    private void recordActive(ActiveRun run) {
        active.put(run.getRun(), run);
        if (!run.getCheckpoint().isEmpty()) {
            checkpoints.put(run.getRun(), run.getCheckpoint());
        }
    }

    WorkerIdentity worker() {
        return report.getWorker();
    }

    WorkerReport report() {
        return report;
    }

    /** Returns the fencing token of the calls for the current incarnation. */
    long fencingToken() {
        return FencingToken.of(term, incarnation);
    }

    /** Records the number of directives that are being sent to the agent. */
    void recordSent(long directivesNumber) {
        reporters.recordSent(directivesNumber);
    }

    /** Returns the ends of the latest report that prove the end of a run. */
    List<EndedRun> endsToRecord(WorkflowRecords records) {
        return ReportedEnds.toRecord(report, records, reporters.isGivingUpReliable(report));
    }

    /** Returns the runs that the agent has given up and that no other process starts. */
    Set<RunAddress> runsGivenUp() {
        Set<RunAddress> runs = new HashSet<>();
        if (reporters.isGivingUpReliable(report)) {
            report.getEndedList().stream()
                    .filter(ended -> !ReportedEnds.isListed(ended))
                    .forEach(ended -> runs.add(ended.getRun()));
        }
        return runs;
    }

    /** Sets the earlier incarnations whose open runs the current one has to stop. */
    void setEarlierIncarnations(Set<WorkerIdentity> incarnations) {
        earlierIncarnations = incarnations;
        earlierCrashes.keySet().retainAll(incarnations);
    }

    Set<WorkerIdentity> earlierIncarnations() {
        return earlierIncarnations;
    }

    /**
     * Returns whether every lease of a run that was sent to an earlier incarnation has expired. Its
     * end is a time of another clock, so that the worker shortens it only to the longest that it
     * accepts, which may exceed the leases that the agent has granted since.
     */
    boolean isEarlierLeaseExpired(long nowMillis, LeaseBound lease) {
        return isLeaseExpired(nowMillis)
                && nowMillis
                        > incarnationReportedAtMillis.orElse(nowMillis) + 2 * lease.maximumMillis();
    }

    /** Returns whether every lease that the worker may hold has expired. */
    boolean isLeaseExpired(long nowMillis) {
        return nowMillis > leaseEndMillis;
    }

    boolean isUsable(long nowMillis, long maximumListAgeMillis) {
        return report.getWorkerPresent()
                && !report.getDraining()
                && !report.getLeaving()
                && !hasCrashed()
                && nowMillis - listedAtMillis <= maximumListAgeMillis;
    }

    /**
     * Returns what the agent has reported on the crash of a worker. That of the current one is
     * withdrawn when it answers again; that of an earlier one is kept until its runs have ended,
     * because the agent reports only the latest crash.
     *
     * @param worker the current or an earlier incarnation
     * @param nowMillis current time
     */
    Optional<ReportedCrash> crashOf(WorkerIdentity worker, long nowMillis) {
        if (!worker.equals(worker())) {
            return Optional.ofNullable(earlierCrashes.get(worker));
        }
        return hasCrashed()
                ? Optional.of(new ReportedCrash(report.getCrash(), nowMillis, false))
                : Optional.empty();
    }

    private boolean hasCrashed() {
        return report.hasCrash() && report.getCrash().getWorker().equals(worker());
    }

    boolean isListed() {
        return report.getListed();
    }

    /**
     * Returns whether the agent needs the start directive of a run, either to start the run or
     * because it lists the run without knowing its definition.
     */
    boolean needsStart(RunAddress run, Set<RunAddress> reportedRuns) {
        ActiveRun reported = active.get(run);
        boolean unknown = reported != null && reported.getUnknown();
        return isListed() && (unknown || !reportedRuns.contains(run));
    }

    Set<RunAddress> reportedRuns() {
        Set<RunAddress> runs = new HashSet<>(active.keySet());
        report.getEndedList().forEach(ended -> runs.add(ended.getRun()));
        return runs;
    }

    /** Returns whether the latest report contains one of the given runs. */
    boolean reportsAny(List<EndedRun> ended) {
        Set<RunAddress> reportedRuns = reportedRuns();
        return ended.stream().anyMatch(each -> reportedRuns.contains(each.getRun()));
    }

    /** Returns whether the worker has listed a run as at work; a start under way is none. */
    boolean isWorking(RunAddress run) {
        ActiveRun reported = active.get(run);
        return reported != null
                && (reported.getPercent() > 0 || reported.getFigure() > 0 || reported.getStable());
    }

    Set<RunAddress> activeRuns() {
        return active.keySet();
    }

    /** Returns the pressures that the agent does not know yet, and marks them as sent. */
    List<ImagePressure> takeUnsentPressures(List<ImagePressure> current, long nowMillis) {
        if (nowMillis - pressuresResetAtMillis > PRESSURE_RESEND_MILLIS) {
            pressuresResetAtMillis = nowMillis;
            sentPressures.clear();
        }
        return current.stream().filter(this::markIfChanged).toList();
    }

    private boolean markIfChanged(ImagePressure pressure) {
        PressureEstimates.ImagePair pair =
                new PressureEstimates.ImagePair(pressure.getServingImage(), pressure.getImage());
        Double sent = sentPressures.get(pair);
        boolean changed =
                sent == null || Math.abs(sent - pressure.getPressure()) >= MINIMUM_PRESSURE_CHANGE;
        if (changed) {
            sentPressures.put(pair, pressure.getPressure());
        }
        return changed;
    }

    String checkpoint(RunAddress run) {
        return checkpoints.getOrDefault(run, previousCheckpoints.getOrDefault(run, ""));
    }

    void removeCheckpoint(RunAddress run) {
        checkpoints.remove(run);
        previousCheckpoints.remove(run);
    }

    /** Returns the numbered ends that the worker listed, ordered by number. */
    Iterable<EndedRun> numberedEnds() {
        return report.getEndedList().stream()
                .filter(ended -> ended.getNumber() > 0)
                .sorted(Comparator.comparingLong(EndedRun::getNumber))
                .toList();
    }

    Optional<PeerConnection> connection() {
        return Optional.ofNullable(connection).filter(PeerConnection::isOpen);
    }

    void send(WorkerDirectives directives) {
        connection()
                .ifPresent(
                        open ->
                                open.send(
                                        Envelope.newBuilder()
                                                .setWorkerDirectives(directives)
                                                .build()));
    }
}
