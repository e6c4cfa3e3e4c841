import java.util.ArrayList;
import java.util.List;

/**
 * Case: a burst of large jobs on one service. Meanwhile a job of another service, which is almost
 * idle, never starts.
 */
final class OtherServiceBusy {

    private static final int BUSY_MINIONS = 9;
    private static final int IDLE_MINIONS = 3;
    private static final int MINION_MILLICORES = 16_000;

    /** The burst multiplies the work of the first service by 2.6. */
    private static final int TASKS_BEFORE = 12;
    private static final int TASKS_OF_BURST = 19;

    private static final int TASK_MILLICORES = 4_000;
    private static final long TASK_MILLIS = 60_000;

    private static final int TARGET_MILLIS = 100;
    private static final int TAIL_MILLIS = 88;

    /** Time after the last submission from which the rule asks for the jobs. */
    private static final long FINISH_MILLIS = 14_000;

    private static final long WATCHED_MILLIS = 24_000;
    private static final long IDLE_MILLIS = 3_000;

    private OtherServiceBusy() {}

    public static void main(String[] arguments) {
        List<Deployment.Machine> machines =
                new ArrayList<>(Case.machines(Deployment.SERVICE, BUSY_MINIONS, 1));
        machines.addAll(Case.machines(Deployment.OTHER_SERVICE, IDLE_MINIONS, 4));
        Case.run(arguments[0], 4, MINION_MILLICORES, machines, OtherServiceBusy::play);
    }

    private static int play(Deployment deployment) throws Exception {
        String serving = deployment.newId();
        Deployment.Step servingStep =
                Deployment.serving(IDLE_MINIONS, 2_000, "s", TARGET_MILLIS, TAIL_MILLIS);
        servingStep.definition().put("anti_affinity", 1);
        boolean accepted = deployment.submit("stock", serving, List.of(servingStep), 10_000);
        accepted &= submitTasks(deployment, TASKS_BEFORE);
        Thread.sleep(8_000);
        if (!accepted) {
            return Case.NOT_RUN;
        }
        if (!Case.withoutTrouble()) {
            deployment.record("burst of large jobs on the first service");
            submitTasks(deployment, TASKS_OF_BURST);
        }
        Thread.sleep(2_000);
        String waiting = deployment.newId();
        Deployment.Step filling = Deployment.filling(2, 1_000, 2_000, "f");
        if (!deployment.submit("stock", waiting, List.of(filling), 5_000)) {
            return Case.NOT_RUN;
        }
        long acceptedAt = deployment.millis();
        Thread.sleep(WATCHED_MILLIS);
        boolean ran =
                deployment.happenings().stream().anyMatch(each -> each.task().startsWith(waiting));
        int used =
                deployment.minions().subList(BUSY_MINIONS, BUSY_MINIONS + IDLE_MINIONS).stream()
                        .mapToInt(Minion::usedRuns)
                        .sum();
        deployment.record(
                "job "
                        + waiting
                        + " is "
                        + deployment.state("stock", waiting)
                        + (ran ? ", it has run" : ", nothing of it has ever run")
                        + ", "
                        + (deployment.millis() - acceptedAt)
                        + " ms after the last submission; its service runs "
                        + used
                        + " tasks of 2 cores on 48 cores");
        return !ran && WATCHED_MILLIS > FINISH_MILLIS + IDLE_MILLIS ? Case.BROKEN : Case.HELD;
    }

    private static boolean submitTasks(Deployment deployment, int count) throws Exception {
        return deployment.submit(
                "now",
                deployment.newId(),
                List.of(Deployment.step(count, TASK_MILLICORES, TASK_MILLIS)),
                5_000);
    }
}
