package org.yuccabank.bench;

import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;
import org.yuccabank.model.AccountId;
import org.yuccabank.model.JobId;
import org.yuccabank.model.Resources;

/**
 * Generates the tasks of a load. The tasks depend only on the seed, never on the scheduler. Not
 * thread-safe.
 */
final class WorkloadGenerator {

    /** Number of teams at 910 workers; smaller fleets have proportionally fewer. */
    private static final int FULL_FLEET_TEAMS = 290;

    private static final int FULL_FLEET_WORKERS = 910;

    /** 85 batch starts and 45 urgent starts per second at 910 workers. */
    private static final double BATCH_STARTS_PER_SECOND_PER_WORKER = 85.0 / FULL_FLEET_WORKERS;

    /** At 910 workers, 5,000 urgent tasks run, of which 910 are service instances. */
    private static final double URGENT_TASKS_PER_WORKER = 4_090.0 / FULL_FLEET_WORKERS;

    private static final double SIZE_SIGMA = 0.25;
    private static final double RUN_TIME_SIGMA = 0.5;
    private static final double TYPICAL_OVERSTATEMENT = 1.2;
    private static final double TYPICAL_DECLARATION_SIGMA = 0.1;
    private static final double WRONG_DECLARATION_SIGMA = 0.8;
    private static final double MAXIMUM_DECLARATION_FACTOR = 4;
    private static final double FAILING_JOB_SHARE = 0.01;
    private static final int MAXIMUM_TASKS_PER_JOB = 8;

    private final List<KindProfile> kinds;
    private final Load load;
    private final int workers;
    private final RandomGenerator random;
    private final AccountId[] accounts;
    private final double[] declarationFactors;
    private final double[] cumulativeTeamShares;
    private final List<BenchTask> submittedTasks = new ArrayList<>();
    private int nextTask;
    private int nextJob;

    WorkloadGenerator(Example example, Load load, int workers, RandomGenerator random) {
        this.kinds = example.kinds();
        this.load = load;
        this.workers = workers;
        this.random = random;
        int teams =
                Math.max(4, Math.round((float) FULL_FLEET_TEAMS * workers / FULL_FLEET_WORKERS));
        accounts = new AccountId[teams];
        declarationFactors = new double[teams];
        cumulativeTeamShares = new double[teams];
        double sigma =
                load.wrongDeclarations() ? WRONG_DECLARATION_SIGMA : TYPICAL_DECLARATION_SIGMA;
        double sum = 0;
        for (int team = 0; team < teams; team++) {
            accounts[team] = AccountId.of("team-" + team);
            double factor = TYPICAL_OVERSTATEMENT * Math.exp(sigma * random.nextGaussian());
            declarationFactors[team] =
                    Math.max(
                            1 / MAXIMUM_DECLARATION_FACTOR,
                            Math.min(MAXIMUM_DECLARATION_FACTOR, factor));
            sum += 1.0 / (1 + team);
            cumulativeTeamShares[team] = sum;
        }
        for (int team = 0; team < teams; team++) {
            cumulativeTeamShares[team] /= sum;
        }
    }

    int teams() {
        return accounts.length;
    }

    /** Returns all tasks submitted so far. */
    List<BenchTask> submittedTasks() {
        return submittedTasks;
    }

    /** Creates the tasks that are running at the start, with a random remainder of their work. */
    List<BenchTask> initialTasks() {
        List<BenchTask> tasks = new ArrayList<>();
        for (int kind = 0; kind < kinds.size(); kind++) {
            if (kind == Example.SERVICE_KIND) {
                continue;
            }
            double expectedTasks = startsPerSecond(kind, 0) * kinds.get(kind).meanRunSeconds();
            int count = (int) Math.round(expectedTasks);
            for (int index = 0; index < count; ) {
                List<BenchTask> job = createJob(kind, 0, random.nextDouble());
                tasks.addAll(job);
                index += job.size();
            }
        }
        return tasks;
    }

    /** Creates the tasks that are submitted during one step. */
    List<BenchTask> arrivingTasks(long nowMillis, long stepMillis, double elapsedFraction) {
        List<BenchTask> tasks = new ArrayList<>();
        for (int kind = 0; kind < kinds.size(); kind++) {
            if (kind == Example.SERVICE_KIND) {
                continue;
            }
            double meanTasksPerJob =
                    kinds.get(kind).urgent() ? 1 : (MAXIMUM_TASKS_PER_JOB + 1) / 2.0;
            double expectedJobs =
                    startsPerSecond(kind, elapsedFraction) * stepMillis / 1000 / meanTasksPerJob;
            for (int jobs = drawPoisson(expectedJobs); jobs > 0; jobs--) {
                tasks.addAll(createJob(kind, nowMillis, 1));
            }
        }
        return tasks;
    }

    private double startsPerSecond(int kind, double elapsedFraction) {
        KindProfile profile = kinds.get(kind);
        if (profile.urgent()) {
            return URGENT_TASKS_PER_WORKER * workers / profile.meanRunSeconds();
        }
        return BATCH_STARTS_PER_SECOND_PER_WORKER
                * workers
                * profile.startShare()
                * load.arrivalRateFactor(profile, elapsedFraction);
    }

    private List<BenchTask> createJob(int kind, long nowMillis, double remainingShare) {
        KindProfile profile = kinds.get(kind);
        int size = profile.urgent() ? 1 : 1 + random.nextInt(MAXIMUM_TASKS_PER_JOB);
        JobId job = JobId.of("job-" + nextJob++);
        int team = drawTeam();
        boolean alwaysFails =
                load.failingHosts() && !profile.urgent() && random.nextDouble() < FAILING_JOB_SHARE;
        List<BenchTask> tasks = new ArrayList<>(size);
        for (int index = 0; index < size; index++) {
            tasks.add(createTask(job, team, kind, nowMillis, remainingShare, alwaysFails));
        }
        submittedTasks.addAll(tasks);
        return tasks;
    }

    private BenchTask createTask(
            JobId job,
            int team,
            int kind,
            long nowMillis,
            double remainingShare,
            boolean alwaysFails) {
        KindProfile profile = kinds.get(kind);
        double sizeFactor = Math.exp(SIZE_SIGMA * random.nextGaussian());
        double cores = profile.meanCores() * Math.min(2.5, sizeFactor);
        double memory = profile.meanPeakMemoryMebibytes() * Math.min(2.5, sizeFactor);
        double runTimeFactor =
                Math.exp(
                        RUN_TIME_SIGMA * random.nextGaussian()
                                - RUN_TIME_SIGMA * RUN_TIME_SIGMA / 2);
        double workMillis =
                Math.max(1, 1000 * profile.meanRunSeconds() * runTimeFactor * remainingShare);
        double batchFactor = declarationFactors[team];
        // Urgent tasks are uniform and their size is well known, so it is declared without random
        // error.
        double declarationFactor =
                profile.urgent() ? Math.max(1.0, TYPICAL_OVERSTATEMENT) : batchFactor;
        Resources declared =
                Resources.of(
                        Math.min(11_000, (long) Math.ceil(1000 * cores * declarationFactor)),
                        Math.min(50_000, (long) Math.ceil(memory * declarationFactor)),
                        profile.accelerators());
        return new BenchTask(
                "task-" + nextTask++,
                job,
                accounts[team],
                team,
                kind,
                profile,
                new BenchTask.ActualDemand(cores, memory, workMillis, alwaysFails),
                declared,
                nowMillis);
    }

    private int drawTeam() {
        double value = random.nextDouble();
        for (int team = 0; team < cumulativeTeamShares.length; team++) {
            if (value <= cumulativeTeamShares[team]) {
                return team;
            }
        }
        return cumulativeTeamShares.length - 1;
    }

    /** Draws from a Poisson distribution with a small mean (Knuth's method). */
    private int drawPoisson(double mean) {
        double limit = Math.exp(-mean);
        double product = random.nextDouble();
        int count = 0;
        while (product > limit) {
            count++;
            product *= random.nextDouble();
        }
        return count;
    }
}
