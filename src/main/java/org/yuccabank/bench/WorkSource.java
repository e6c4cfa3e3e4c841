package org.yuccabank.bench;

import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;
import org.yuccabank.model.AccountId;
import org.yuccabank.model.JobId;
import org.yuccabank.model.Resources;

/**
 * Submits the tasks of a load. The stream depends on the seed only, never on what the scheduler
 * does. Not thread-safe.
 */
final class WorkSource {

    /** 290 teams share 910 workers; smaller fleets have fewer. */
    private static final int TEAMS = 290;

    private static final int FULL_FLEET = 910;

    /** 85 batch starts and 45 urgent starts a second at 910 workers. */
    private static final double BATCH_RATE_PER_WORKER = 85.0 / FULL_FLEET;

    /** 5,000 urgent tasks run at 910 workers, of which 910 are service instances. */
    private static final double URGENT_TASKS_PER_WORKER = 4_090.0 / FULL_FLEET;

    private static final double SIZE_SIGMA = 0.25;
    private static final double TIME_SIGMA = 0.5;
    private static final double USUAL_OVERSTATEMENT = 1.2;
    private static final double USUAL_ERROR_SIGMA = 0.1;
    private static final double WRONG_ERROR_SIGMA = 0.8;
    private static final double GREATEST_ERROR = 4;
    private static final double BROKEN_SHARE = 0.01;
    private static final int GREATEST_JOB = 8;

    private final List<KindProfile> kinds;
    private final Load load;
    private final int workers;
    private final RandomGenerator random;
    private final AccountId[] accounts;
    private final double[] declarationError;
    private final double[] teamShare;
    private final List<BenchTask> all = new ArrayList<>();
    private int nextTask;
    private int nextJob;

    WorkSource(Example example, Load load, int workers, RandomGenerator random) {
        this.kinds = example.kinds();
        this.load = load;
        this.workers = workers;
        this.random = random;
        int teams = Math.max(4, Math.round((float) TEAMS * workers / FULL_FLEET));
        accounts = new AccountId[teams];
        declarationError = new double[teams];
        teamShare = new double[teams];
        double sigma = load.wrongDeclarations() ? WRONG_ERROR_SIGMA : USUAL_ERROR_SIGMA;
        double sum = 0;
        for (int team = 0; team < teams; team++) {
            accounts[team] = AccountId.of("team-" + team);
            double error = USUAL_OVERSTATEMENT * Math.exp(sigma * random.nextGaussian());
            declarationError[team] = Math.max(1 / GREATEST_ERROR, Math.min(GREATEST_ERROR, error));
            sum += 1.0 / (1 + team);
            teamShare[team] = sum;
        }
        for (int team = 0; team < teams; team++) {
            teamShare[team] /= sum;
        }
    }

    int teams() {
        return accounts.length;
    }

    /** Every task that was submitted. */
    List<BenchTask> all() {
        return all;
    }

    /** The tasks that are to run when the run begins, with what is left of their work. */
    List<BenchTask> initial() {
        List<BenchTask> tasks = new ArrayList<>();
        for (int kind = 0; kind < kinds.size(); kind++) {
            if (kind == Example.SERVICE) {
                continue;
            }
            double expected = ratePerSecond(kind, 0) * kinds.get(kind).runSeconds();
            int count = (int) Math.round(expected);
            for (int index = 0; index < count; ) {
                List<BenchTask> job = job(kind, 0, random.nextDouble());
                tasks.addAll(job);
                index += job.size();
            }
        }
        return tasks;
    }

    /** The tasks that are submitted in one step. */
    List<BenchTask> arrivals(long nowMillis, long stepMillis, double part) {
        List<BenchTask> tasks = new ArrayList<>();
        for (int kind = 0; kind < kinds.size(); kind++) {
            if (kind == Example.SERVICE) {
                continue;
            }
            double meanJob = kinds.get(kind).urgent() ? 1 : (GREATEST_JOB + 1) / 2.0;
            double expected = ratePerSecond(kind, part) * stepMillis / 1000 / meanJob;
            for (int jobs = poisson(expected); jobs > 0; jobs--) {
                tasks.addAll(job(kind, nowMillis, 1));
            }
        }
        return tasks;
    }

    private double ratePerSecond(int kind, double part) {
        KindProfile profile = kinds.get(kind);
        if (profile.urgent()) {
            return URGENT_TASKS_PER_WORKER * workers / profile.runSeconds();
        }
        return BATCH_RATE_PER_WORKER
                * workers
                * profile.share()
                * load.arrivalFactor(profile, part);
    }

    private List<BenchTask> job(int kind, long nowMillis, double workLeft) {
        KindProfile profile = kinds.get(kind);
        int size = profile.urgent() ? 1 : 1 + random.nextInt(GREATEST_JOB);
        JobId job = JobId.of("job-" + nextJob++);
        int team = team();
        boolean broken =
                load.failingHosts() && !profile.urgent() && random.nextDouble() < BROKEN_SHARE;
        List<BenchTask> tasks = new ArrayList<>(size);
        for (int index = 0; index < size; index++) {
            tasks.add(task(job, team, kind, nowMillis, workLeft, broken));
        }
        all.addAll(tasks);
        return tasks;
    }

    private BenchTask task(
            JobId job, int team, int kind, long nowMillis, double workLeft, boolean broken) {
        KindProfile profile = kinds.get(kind);
        double size = Math.exp(SIZE_SIGMA * random.nextGaussian());
        double cores = profile.cores() * Math.min(2.5, size);
        double memory = profile.memoryMebibytes() * Math.min(2.5, size);
        double time = Math.exp(TIME_SIGMA * random.nextGaussian() - TIME_SIGMA * TIME_SIGMA / 2);
        double work = Math.max(1, 1000 * profile.runSeconds() * time * workLeft);
        double error = declarationError[team];
        // Urgent tasks are uniform and their size is well known.
        double stated = profile.urgent() ? Math.max(1.0, USUAL_OVERSTATEMENT) : error;
        Resources declared =
                Resources.of(
                        Math.min(11_000, (long) Math.ceil(1000 * cores * stated)),
                        Math.min(50_000, (long) Math.ceil(memory * stated)),
                        profile.accelerators());
        return new BenchTask(
                "task-" + nextTask++,
                job,
                accounts[team],
                team,
                kind,
                profile,
                new BenchTask.Truth(cores, memory, work, broken),
                declared,
                nowMillis);
    }

    private int team() {
        double value = random.nextDouble();
        for (int team = 0; team < teamShare.length; team++) {
            if (value <= teamShare[team]) {
                return team;
            }
        }
        return teamShare.length - 1;
    }

    /** Number of events when the expected number is small (Knuth's method). */
    private int poisson(double expected) {
        double limit = Math.exp(-expected);
        double product = random.nextDouble();
        int count = 0;
        while (product > limit) {
            count++;
            product *= random.nextDouble();
        }
        return count;
    }
}
