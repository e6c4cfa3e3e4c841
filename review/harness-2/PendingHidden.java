import java.util.ArrayList;
import java.util.List;
import java.util.OptionalInt;

/**
 * Case: one of twelve minions refuses two starts of five for 6 s. Jobs that wait for it, as it is
 * full at first, and have not begun are not counted as pending.
 */
final class PendingHidden {

    private static final int MINIONS = 12;
    private static final int MINION_MILLICORES = 16_000;
    private static final int JOBS = 10;
    private static final long TROUBLE_MILLIS = 6_000;

    /** Age from which a job that has not begun has to be counted: visible_ms and 2 s. */
    private static final long COUNTED_MILLIS = 5_000;

    private static final long WATCHED_MILLIS = 14_000;

    private PendingHidden() {}

    public static void main(String[] arguments) {
        Case.run(
                arguments[0],
                4,
                MINION_MILLICORES,
                Case.machinesWithOneOther(MINIONS),
                PendingHidden::play);
    }

    private static int play(Deployment deployment) throws Exception {
        Minion only = deployment.minions().get(MINIONS - 1);
        Deployment.Step whole = Deployment.step(1, MINION_MILLICORES, 3_000);
        List<Deployment.Step> before = List.of(Deployment.withLabel(whole, "b"));
        if (!deployment.submit("now", deployment.newId(), before, 10_000)) {
            return Case.NOT_RUN;
        }
        Thread.sleep(1_000);
        if (!Case.withoutTrouble()) {
            only.setBusy(true);
        }
        List<String> ids = new ArrayList<>();
        for (int job = 0; job < JOBS; job++) {
            String id = deployment.newId();
            ids.add(id);
            Deployment.Step step = Deployment.withLabel(Deployment.step(1, 500, 20_000), "b");
            if (!deployment.submit("now", id, List.of(step), 5_000)) {
                return Case.NOT_RUN;
            }
        }
        long acceptedAt = deployment.millis();
        boolean broken = false;
        boolean well = Case.withoutTrouble();
        while (deployment.millis() - acceptedAt < WATCHED_MILLIS && !broken) {
            Thread.sleep(250);
            if (!well && deployment.millis() - acceptedAt > TROUBLE_MILLIS) {
                only.setBusy(false);
                well = true;
            }
            if (deployment.millis() - acceptedAt <= COUNTED_MILLIS + 250) {
                continue;
            }
            for (int node = 1; node <= Deployment.EDGES; node++) {
                OptionalInt pending = deployment.pending(node, "now");
                long waiting = ids.stream().filter(id -> !hasBegun(deployment, id)).count();
                if (pending.isPresent() && 2 * pending.getAsInt() < waiting) {
                    deployment.record(
                            "node "
                                    + node
                                    + " gives "
                                    + pending.getAsInt()
                                    + " as pending, while "
                                    + waiting
                                    + " jobs have not begun that were accepted over "
                                    + COUNTED_MILLIS
                                    + " ms before");
                    broken = true;
                }
            }
        }
        return broken ? Case.BROKEN : Case.HELD;
    }

    private static boolean hasBegun(Deployment deployment, String id) {
        return deployment.happenings().stream().anyMatch(each -> each.task().startsWith(id));
    }
}
