import java.util.List;

/**
 * Case: one of twelve minions fails all that it starts for 6 s while a task that lasts runs on it,
 * and is well again. Afterwards jobs that need this minion never start.
 */
final class StuckBreaker {

    private static final int MINIONS = 12;
    private static final long TROUBLE_MILLIS = 6_000;
    private static final long CALM_MILLIS = 8_000;

    /** Time after the last submission from which the rule asks for the jobs. */
    private static final long FINISH_MILLIS = 14_000;

    private static final long WATCHED_MILLIS = 24_000;

    /** Longest time for which a job may have nothing running, by the rule. */
    private static final long IDLE_MILLIS = 3_000;

    private StuckBreaker() {}

    public static void main(String[] arguments) {
        Case.run(arguments[0], 4, 16_000, Case.machinesWithOneOther(MINIONS), StuckBreaker::play);
    }

    private static int play(Deployment deployment) throws Exception {
        boolean trouble = !Case.withoutTrouble();
        Minion only = deployment.minions().get(MINIONS - 1);
        String lasting = deployment.newId();
        if (!deployment.submit("now", lasting, lastingJob(), 10_000)) {
            return Case.NOT_RUN;
        }
        Thread.sleep(2_000);
        if (!only.runs(lasting)) {
            return Case.NOT_RUN;
        }
        if (trouble) {
            only.setFailsStarts(true);
        }
        for (int job = 0; job < 3; job++) {
            deployment.submit("now", deployment.newId(), shortJob(), 5_000);
        }
        Thread.sleep(TROUBLE_MILLIS);
        if (trouble) {
            only.setFailsStarts(false);
        }
        Thread.sleep(CALM_MILLIS);
        String shortId = deployment.newId();
        String secondLasting = deployment.newId();
        if (!deployment.submit("now", shortId, shortJob(), 5_000)
                || !deployment.submit("now", secondLasting, lastingJob(), 5_000)) {
            return Case.NOT_RUN;
        }
        long acceptedAt = deployment.millis();
        while (deployment.millis() - acceptedAt < WATCHED_MILLIS) {
            Thread.sleep(200);
        }
        boolean broken = isBroken(deployment, only, shortId, acceptedAt);
        broken |= isBroken(deployment, only, secondLasting, acceptedAt);
        return broken ? Case.BROKEN : Case.HELD;
    }

    /** Returns whether a job has never run although it could for long enough to break the rule. */
    private static boolean isBroken(
            Deployment deployment, Minion only, String id, long acceptedAt) {
        boolean ran = deployment.happenings().stream().anyMatch(each -> each.task().startsWith(id));
        deployment.record(
                "job "
                        + id
                        + " is "
                        + deployment.state("now", id)
                        + (ran ? ", it has run" : ", nothing of it has ever run")
                        + ", "
                        + (deployment.millis() - acceptedAt)
                        + " ms after the last submission; minion "
                        + only.machine
                        + " runs "
                        + only.usedRuns()
                        + " tasks");
        return !ran && deployment.millis() - acceptedAt > FINISH_MILLIS + IDLE_MILLIS;
    }

    private static List<Deployment.Step> shortJob() {
        return List.of(Deployment.withLabel(Deployment.step(2, 500, 500), "b"));
    }

    private static List<Deployment.Step> lastingJob() {
        return List.of(Deployment.withLabel(Deployment.lasting(1, 2_000), "b"));
    }
}
