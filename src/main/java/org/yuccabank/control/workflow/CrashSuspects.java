package org.yuccabank.control.workflow;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.yuccabank.policy.workflow.CrashIsolation;
import org.yuccabank.protocol.generated.ActiveRun;
import org.yuccabank.protocol.generated.EndedRun;
import org.yuccabank.protocol.generated.RunAddress;
import org.yuccabank.protocol.generated.RunEnding;
import org.yuccabank.protocol.generated.WorkerCrash;
import org.yuccabank.state.workflow.WorkflowRecords;
import org.yuccabank.state.workflow.WorkflowTask;

/** Tells the tasks that may crash their worker from those that ran beside them. Stateless. */
final class CrashSuspects {

    private CrashSuspects() {}

    /** Returns whether a worker has crashed shortly after it started a task. */
    static boolean isSuspect(WorkflowTask task) {
        return task.crashes() > 0;
    }

    /**
     * Returns the ends of the open runs of a worker that is gone. The crash of a worker that flaps
     * makes none of them a suspect.
     *
     * @param openRuns the tasks with an open run on the worker
     * @param crash the crash of the worker as its agent reported it, empty if it did not crash or
     *     if the agent does not know
     * @param history the recent crashes of the workers, with this one
     * @param reason why the runs end
     * @param checkpoint returns the saved checkpoint of a run
     */
    static List<EndedRun> endsOf(
            Collection<WorkflowTask> openRuns,
            Optional<WorkerView.ReportedCrash> crash,
            WorkerCrashHistory history,
            String reason,
            Function<RunAddress, String> checkpoint) {
        Set<RunAddress> suspects = new HashSet<>();
        Set<RunAddress> uncertain = new HashSet<>();
        boolean inconclusive = crash.filter(each -> isInconclusive(each, history)).isPresent();
        crash.map(WorkerView.ReportedCrash::crash)
                .filter(each -> !history.wasFlapping(each.getWorker()))
                .ifPresent(
                        each -> {
                            suspects.addAll(each.getSuspectsList());
                            uncertain.addAll(each.getUncertainSuspectsList());
                        });
        suspects.addAll(uncertain);
        boolean sole = workflowCount(suspects) == 1;
        List<EndedRun> ends = new ArrayList<>();
        for (WorkflowTask task : openRuns) {
            EndedRun.Builder end =
                    EndedRun.newBuilder()
                            .setRun(task.run())
                            .setEnding(RunEnding.RUN_WORKER_LOST)
                            .setCheckpoint(checkpoint.apply(task.run()))
                            .setReason(reason);
            if (suspects.contains(task.run())) {
                end.setEnding(RunEnding.RUN_WORKER_CRASHED)
                        .setSoleSuspect(sole)
                        .setOtherWorkerCrashes(
                                history.crashesWithout(
                                        task.worker().orElseThrow(), task.workflow().id()))
                        .setUncertainStart(uncertain.contains(task.run()))
                        .setInconclusive(inconclusive);
            }
            ends.add(end.build());
        }
        return ends;
    }

    private static boolean isInconclusive(
            WorkerView.ReportedCrash crash, WorkerCrashHistory history) {
        return !crash.proven() || history.groups().isShared(crash.crash().getWorker());
    }

    /**
     * Returns whether a worker crashed shortly after it had started a suspect, which suspects do
     * apart from other tasks.
     */
    static boolean isExpected(WorkerCrash crash, WorkflowRecords records) {
        return Stream.concat(
                        crash.getSuspectsList().stream(), crash.getUncertainSuspectsList().stream())
                .map(RunAddress::getTask)
                .flatMap(
                        task ->
                                records
                                        .workflow(task.getWorkflowId())
                                        .flatMap(workflow -> workflow.task(task))
                                        .stream())
                .anyMatch(CrashSuspects::isSuspect);
    }

    /** Returns the number of workflows to which runs belong. */
    static long workflowCount(Collection<RunAddress> runs) {
        return runs.stream().map(run -> run.getTask().getWorkflowId()).distinct().count();
    }

    /**
     * Returns which workers may start suspects, and which may start other tasks.
     *
     * @param workers the available workers
     * @param suspectsWaiting whether suspects wait for a worker
     */
    static CrashIsolation isolation(
            WorkflowRecords records, Collection<AvailableWorker> workers, boolean suspectsWaiting) {
        CrashIsolation isolation = new CrashIsolation();
        for (AvailableWorker worker : workers) {
            String key = worker.key();
            isolation.addWorker(key, worker.reliability().ordinal());
            Set<WorkflowTask> openRuns = records.openRuns(worker.report().getWorker());
            if (suspectsWaiting || openRuns.stream().anyMatch(CrashSuspects::isSuspect)) {
                Set<RunAddress> stable = stableRuns(worker);
                openRuns.stream()
                        .filter(task -> !stable.contains(task.run()))
                        .forEach(task -> isolation.addUnstableRun(key, isSuspect(task)));
            }
        }
        return isolation;
    }

    private static Set<RunAddress> stableRuns(AvailableWorker worker) {
        return worker.report().getActiveList().stream()
                .filter(ActiveRun::getStable)
                .map(ActiveRun::getRun)
                .collect(Collectors.toSet());
    }
}
