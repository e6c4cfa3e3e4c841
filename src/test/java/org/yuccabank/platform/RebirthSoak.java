package org.yuccabank.platform;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * Runs jobs on real processes while workers start again under their identifiers, the leader and
 * agents are killed and agents are cut off from the leader, and looks for tasks that run twice or
 * never complete. The seed decides the faults and their times; what runs meanwhile differs between
 * plays. Confined to one thread, except for the status reports.
 *
 * <p>Seeds 1 to 50 with 22 s of faults, after {@code mvn test-compile dependency:build-classpath
 * -Dmdep.outputFile=target/classpath}: {@code java -cp target/test-classes:target/classes:$(cat
 * target/classpath) org.yuccabank.platform.RebirthSoak 1 50 22 target/soak}
 */
final class RebirthSoak {

    private static final int HOST_COUNT = 3;
    private static final long COMPLETION_TIMEOUT_MILLIS = 40_000;
    private static final int REPORT_INTERVAL_MILLIS = 1_000;

    private final long seed;
    private final long lengthMillis;
    private final SoakRecord soakRecord = new SoakRecord();
    private final SoakPlan plan;
    private final Path directory;
    private final List<SoakMinion> minions = new ArrayList<>();
    private final Set<String> openJobs = new LinkedHashSet<>();
    private final List<String> failedJobs = new ArrayList<>();
    private final Random jobs;
    private int jobCount;
    private String nextJob = "";

    /**
     * What a soak has found.
     *
     * @param repetitions runs of tasks that should not have started
     * @param lostJobs jobs that are not completed
     * @param unseenEnds ends that were discarded although no list contained them
     * @param jobCount number of jobs
     */
    record Findings(
            List<String> repetitions,
            List<String> lostJobs,
            List<String> unseenEnds,
            int jobCount) {

        boolean isEmpty() {
            return repetitions.isEmpty() && lostJobs.isEmpty() && unseenEnds.isEmpty();
        }
    }

    RebirthSoak(long seed, long lengthMillis, Path directory) {
        this.seed = seed;
        this.lengthMillis = lengthMillis;
        this.directory = directory;
        plan = SoakPlan.of(seed, HOST_COUNT, lengthMillis);
        jobs = new Random(seed + 1);
    }

    /**
     * Plays seeds one after another and prints what each has found. Arguments: the first seed, the
     * number of seeds, the length of the faults in seconds, and the directory for logs.
     */
    public static void main(String[] arguments) throws Exception {
        long first = Long.parseLong(arguments[0]);
        for (long seed = first; seed < first + Long.parseLong(arguments[1]); seed++) {
            Path logs = Files.createDirectories(Path.of(arguments[3]));
            Path directory = Files.createTempDirectory(logs, "seed-" + seed + "-");
            RebirthSoak soak =
                    new RebirthSoak(seed, 1_000 * Long.parseLong(arguments[2]), directory);
            Findings findings = soak.run();
            System.out.printf(
                    "seed %d: %s %d jobs, TWICE %d, LOST %d, unseen ends %d, %s%n",
                    seed,
                    findings.isEmpty() ? "passed" : "FAILED",
                    findings.jobCount(),
                    findings.repetitions().size(),
                    findings.lostJobs().size(),
                    findings.unseenEnds().size(),
                    soak.plan.behaviours().get(0));
        }
        System.exit(0);
    }

    Findings run() throws IOException, InterruptedException {
        ScheduledExecutorService reports = Executors.newScheduledThreadPool(HOST_COUNT);
        try (SoakCluster cluster = SoakCluster.of(directory, HOST_COUNT)) {
            cluster.start();
            for (int host = 0; host < HOST_COUNT; host++) {
                int reporting = host;
                minions.add(
                        new SoakMinion(
                                "m-" + host,
                                cluster.workerAddress(host),
                                plan.behaviours().get(host),
                                new Random(seed * 31 + host),
                                soakRecord));
                var unused =
                        reports.scheduleAtFixedRate(
                                () -> report(cluster, reporting),
                                100 + 300L * host,
                                REPORT_INTERVAL_MILLIS,
                                TimeUnit.MILLISECONDS);
            }
            play(cluster);
            awaitCompletion(cluster);
        } finally {
            reports.shutdownNow();
            for (SoakMinion each : minions) {
                each.close();
            }
        }
        return findings();
    }

    private void report(SoakCluster cluster, int host) {
        String fields = minions.get(host).announcement();
        if (!fields.isEmpty()) {
            cluster.announce(host, minions.get(host).id(), fields);
        }
    }

    private void play(SoakCluster cluster) throws IOException, InterruptedException {
        long start = soakRecord.millis();
        List<SoakPlan.Fault> remaining = new ArrayList<>(plan.faults());
        long nextJobMillis = 0;
        while (!remaining.isEmpty() || soakRecord.millis() - start < lengthMillis) {
            long now = soakRecord.millis() - start;
            while (!remaining.isEmpty() && remaining.get(0).atMillis() <= now) {
                apply(remaining.remove(0), cluster);
            }
            if (now >= nextJobMillis && now < lengthMillis) {
                submit(cluster);
                nextJobMillis = now + 100 + jobs.nextInt(400);
            }
            Thread.sleep(5);
        }
        minions.forEach(SoakMinion::answerAll);
        soakRecord.log("last fault");
    }

    private void apply(SoakPlan.Fault fault, SoakCluster cluster) throws IOException {
        soakRecord.log("fault " + fault);
        switch (fault.kind()) {
            case WORKER_DOWN -> minions.get(fault.host()).goDown();
            case WORKER_UP -> minions.get(fault.host()).comeUp();
            case LEADER_KILLED -> cluster.killLeader();
            case LEADER_STARTED -> cluster.startKilledLeader();
            case AGENT_KILLED -> cluster.killAgent(fault.host());
            case AGENT_STARTED -> cluster.startAgent(fault.host());
            case LINK_CUT -> cluster.setCut(fault.host(), true);
            case LINK_JOINED -> cluster.setCut(fault.host(), false);
            default -> throw new IllegalStateException("unknown fault " + fault);
        }
    }

    /** Submits the next job, or again the one that was not confirmed. */
    private void submit(SoakCluster cluster) {
        String id = String.format("%08x%08x", seed, jobCount);
        if (nextJob.isEmpty()) {
            int longest = jobs.nextInt(3) == 0 ? 8_000 : 1_500;
            int workMillis = 100 + jobs.nextInt(longest - 100);
            nextJob =
                    String.format(
                            "{\"spec\":\"%d\",\"steps\":[{\"count\":%d,\"cpu\":500,"
                                    + "\"mem_mb\":10,\"estimate_ms\":%d}]}",
                            workMillis, 1 + jobs.nextInt(4), workMillis);
        }
        if (cluster.callEntry("POST", "/jobs/" + id, nextJob).startsWith("200")) {
            openJobs.add(id);
            soakRecord.log("job " + id + " " + nextJob);
            nextJob = "";
            jobCount++;
        }
    }

    private void awaitCompletion(SoakCluster cluster) throws InterruptedException {
        long end = soakRecord.millis() + COMPLETION_TIMEOUT_MILLIS;
        while (!openJobs.isEmpty() && soakRecord.millis() < end) {
            for (String id : List.copyOf(openJobs)) {
                String state = cluster.callEntry("GET", "/jobs/" + id, "");
                if (state.contains("\"completed\"")) {
                    openJobs.remove(id);
                } else if (state.contains("\"failed\"") || state.startsWith("410")) {
                    openJobs.remove(id);
                    failedJobs.add(id + " " + state);
                }
            }
            Thread.sleep(200);
        }
    }

    private Findings findings() throws IOException {
        List<String> lost = new ArrayList<>(failedJobs);
        lost.addAll(openJobs);
        Findings findings =
                new Findings(
                        soakRecord.repetitions(),
                        lost,
                        soakRecord.unseenAcknowledgements(),
                        jobCount);
        List<String> lines = new ArrayList<>(soakRecord.lines());
        lines.add(findings.toString().replace("], ", "],\n").replace(", at", ",\nat"));
        Files.write(directory.resolve("record.log"), lines);
        return findings;
    }
}
