package org.yuccabank.agent;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.testng.Reporter;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.yuccabank.standin.WorkerRecord;

/**
 * Runs seeded schedules of agents with message faults, pauses and restarts, and checks the events
 * that workers and targets recorded. Disables each safety mechanism in turn to show that a check
 * fails without it.
 */
public class AgentCoreScheduleTest {

    private static final int SCHEDULES = 1_500;
    private static final int LONG_SCHEDULES = 50;
    private static final long SHORT_MILLIS = 40_000;
    private static final long LONG_MILLIS = 200_000;

    /** Violations and event counts of a set of schedules. */
    private static final class ScheduleSummary {
        private final Map<String, Integer> violations = new TreeMap<>();
        private long tasksStarted;
        private long requestsRun;
        private long reportedNotRun;

        private void recordViolation(String property) {
            violations.merge(property, 1, Integer::sum);
        }

        private void add(AgentSimulation simulation) {
            List<WorkerRecord> records = new ArrayList<>();
            for (AgentSimulation.Host host : simulation.hosts) {
                records.addAll(host.worker.records().all());
                if (host.worker.capacityExceeded()) {
                    recordViolation("over capacity");
                }
            }
            records.sort(java.util.Comparator.comparingLong(WorkerRecord::atMillis));
            checkTasks(records);
            checkRequests(simulation);
        }

        private void checkTasks(List<WorkerRecord> records) {
            Map<String, Set<Long>> running = new HashMap<>();
            // An end precedes a start at the same time.
            records.sort(
                    java.util.Comparator.comparingLong(WorkerRecord::atMillis)
                            .thenComparing(workerRecord -> isStart(workerRecord) ? 1 : 0));
            for (WorkerRecord workerRecord : records) {
                Set<Long> tokens =
                        running.computeIfAbsent(workerRecord.id(), id -> new HashSet<>());
                if (isStart(workerRecord)) {
                    tasksStarted++;
                    tokens.add(workerRecord.token());
                    if (tokens.size() > 1) {
                        recordViolation("task under two tokens at once");
                    }
                } else if (isEnd(workerRecord)) {
                    tokens.remove(workerRecord.token());
                }
            }
        }

        private static boolean isStart(WorkerRecord workerRecord) {
            return workerRecord.event() == WorkerRecord.Event.TASK_STARTED
                    || workerRecord.event() == WorkerRecord.Event.TASK_RESUMED;
        }

        private static boolean isEnd(WorkerRecord workerRecord) {
            return switch (workerRecord.event()) {
                case TASK_STOPPED, TASK_LEASE_EXPIRED, TASK_FINISHED, TASK_FAILED -> true;
                default -> false;
            };
        }

        private void checkRequests(AgentSimulation simulation) {
            Set<String> keys = new HashSet<>();
            for (String run : simulation.runs) {
                requestsRun++;
                if (!keys.add(run.substring(0, run.indexOf('@')))) {
                    recordViolation("at-most-once key run twice");
                }
                if (simulation.reportedNotRun.contains(run)) {
                    recordViolation("reported as not run, but ran");
                }
            }
            reportedNotRun += simulation.reportedNotRun.size();
        }
    }

    private static ScheduleSummary run(
            AgentOptions options, int schedules, long firstSeed, long millis) {
        ScheduleSummary summary = new ScheduleSummary();
        for (int index = 0; index < schedules; index++) {
            AgentSimulation simulation = new AgentSimulation(firstSeed + index, options);
            simulation.run(millis);
            summary.add(simulation);
        }
        return summary;
    }

    private static void assertHolds(ScheduleSummary summary, int schedules) {
        assertEquals(summary.violations, Map.of());
        // Guards against schedules that exercise nothing.
        assertTrue(summary.tasksStarted > schedules, "tasks started: " + summary.tasksStarted);
        assertTrue(summary.requestsRun > schedules, "requests run: " + summary.requestsRun);
        assertTrue(
                summary.reportedNotRun > schedules,
                "requests reported as not run: " + summary.reportedNotRun);
        Reporter.log(
                schedules
                        + " schedules: tasks started "
                        + summary.tasksStarted
                        + ", requests run "
                        + summary.requestsRun
                        + ", reported as not run "
                        + summary.reportedNotRun
                        + ", violations 0",
                true);
    }

    /**
     * Guards against exceeded capacity, a task that runs under two tokens at once, and an
     * at-most-once request that runs twice or after it was reported as not run.
     */
    @Test
    public void invariantsHoldInSeededSchedules() {
        assertHolds(run(AgentOptions.defaults(), SCHEDULES, 1, SHORT_MILLIS), SCHEDULES);
    }

    /** Guards against the same violations after the retention time of keys and tokens is over. */
    @Test
    public void invariantsHoldWhenKeysAndTokensAreEvicted() {
        ScheduleSummary summary =
                run(AgentOptions.defaults(), LONG_SCHEDULES, 1_000_000, LONG_MILLIS);
        assertHolds(summary, LONG_SCHEDULES);
    }

    @DataProvider
    public Object[][] mechanisms() {
        return new Object[][] {
            {"checkCapacity", "over capacity", 50},
            {"countStopping", "over capacity", 50},
            {"adoptTasks", "over capacity", 100},
            {"checkTokens", "task under two tokens at once", 50},
            {"leaseFromReport", "task under two tokens at once", 400},
            {"rememberKeys", "at-most-once key run twice", 50},
            {"recordRefusals", "reported as not run, but ran", 50},
            {"checkIncarnation", "at-most-once key run twice", 200},
        };
    }

    /** Guards against checks that cannot fail. */
    @Test(dataProvider = "mechanisms")
    public void checkFailsWithoutItsMechanism(String mechanism, String property, int schedules) {
        AgentOptions options = AgentOptions.without(mechanism);
        ScheduleSummary summary = run(options, schedules, 1, SHORT_MILLIS);
        Reporter.log(
                schedules + " schedules without " + mechanism + ": " + summary.violations, true);
        assertTrue(
                summary.violations.getOrDefault(property, 0) > 0,
                "no schedule shows what " + mechanism + " prevents: " + summary.violations);
    }
}
