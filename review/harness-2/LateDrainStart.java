import java.util.List;

/**
 * Shown, not kept as a case: a minion leaves calls unanswered for 4.5 s, while it begins to drain.
 * It is given a task long after its draining was confirmed.
 */
final class LateDrainStart {

    private static final int MINIONS = 12;
    private static final long TROUBLE_MILLIS = 4_500;

    private LateDrainStart() {}

    public static void main(String[] arguments) {
        Case.run(
                arguments[0],
                4,
                16_000,
                Case.machinesWithOneOther(MINIONS),
                LateDrainStart::play);
    }

    private static int play(Deployment deployment) throws Exception {
        Minion only = deployment.minions().get(MINIONS - 1);
        long hungAt = deployment.millis();
        if (!Case.withoutTrouble()) {
            only.setHangs(true);
        }
        String id = deployment.newId();
        List<Deployment.Step> steps =
                List.of(Deployment.withLabel(Deployment.step(4, 500, 30_000), "b"));
        if (!deployment.submit("now", id, steps, 5_000)) {
            return Case.NOT_RUN;
        }
        Thread.sleep(500);
        if (!only.drain(10_000)) {
            return Case.NOT_RUN;
        }
        long drainedAt = deployment.millis();
        while (deployment.millis() - hungAt < TROUBLE_MILLIS) {
            Thread.sleep(50);
        }
        if (!Case.withoutTrouble()) {
            only.setHangs(false);
        }
        Thread.sleep(6_000);
        boolean broken = false;
        for (Deployment.Happening each : deployment.happenings()) {
            if (each.what().equals("start")
                    && each.machine().equals(only.machine)
                    && each.atMillis() > drainedAt + Deployment.DRAIN_MILLIS) {
                deployment.record(
                        "run "
                                + each.task()
                                + " attempt "
                                + each.attempt()
                                + " started "
                                + (each.atMillis() - drainedAt)
                                + " ms after the draining was confirmed");
                broken = true;
            }
        }
        return broken ? Case.BROKEN : Case.HELD;
    }
}
