import java.util.List;

/**
 * Shown, not kept as a case: large jobs come at once, among them a gang of 600 tasks that needs a third of the capacity.
 * Its members never start together.
 */
final class CutGang {

    private static final int MINIONS = 12;
    private static final int LARGE_GANG = 600;
    private static final int SMALL_GANG = 24;
    private static final int TASK_MILLICORES = 100;
    private static final long TASK_MILLIS = 2_000;
    private static final long WATCHED_MILLIS = 16_000;

    private CutGang() {}

    public static void main(String[] arguments) {
        Case.run(
                arguments[0],
                4,
                16_000,
                Case.machines(Deployment.SERVICE, MINIONS, 1),
                CutGang::play);
    }

    private static int play(Deployment deployment) throws Exception {
        int count = Case.withoutTrouble() ? SMALL_GANG : LARGE_GANG;
        String id = deployment.newId();
        List<Deployment.Step> steps =
                List.of(Deployment.gang(count, TASK_MILLICORES, TASK_MILLIS));
        if (!deployment.submit("now", id, steps, 10_000)) {
            return Case.NOT_RUN;
        }
        long acceptedAt = deployment.millis();
        String state = "";
        while (deployment.millis() - acceptedAt < WATCHED_MILLIS && !state.equals("completed")) {
            Thread.sleep(500);
            state = deployment.state("now", id);
        }
        long starts = count(deployment, "start");
        long alone = count(deployment, "alone");
        deployment.record(
                "job "
                        + id
                        + " is "
                        + state
                        + " after "
                        + (deployment.millis() - acceptedAt)
                        + " ms; "
                        + starts
                        + " runs started, "
                        + alone
                        + " ended alone");
        return alone > 0 ? Case.BROKEN : Case.HELD;
    }

    private static long count(Deployment deployment, String what) {
        return deployment.happenings().stream().filter(each -> each.what().equals(what)).count();
    }
}
