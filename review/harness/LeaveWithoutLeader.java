import java.util.ArrayList;
import java.util.List;

/**
 * A minion that has drained deregisters while all control processes have just been killed and are
 * being started again. It gets no confirmation, so that it ends some seconds later.
 */
final class LeaveWithoutLeader extends Script {

    private static final int MINIONS = 3;
    private static final String SERVICE = "easel-desk";
    private static final long TASK_MILLIS = 15_000;
    private static final long DRAIN_MILLIS = 2_500;
    private static final long BACK_MILLIS = 900;
    private static final long UNCONFIRMED_END_MILLIS = 5_000;

    @Override
    List<String> play(Cluster cluster, Record record) throws Exception {
        List<Minion> minions = Small.start(cluster, record, MINIONS, SERVICE, spec -> TASK_MILLIS);
        List<String> paths = new ArrayList<>();
        for (int job = 0; job < 2; job++) {
            String path = Small.PREFIX + String.format("%016x", 0x1eaf000000L + job);
            require(
                    cluster.submit(path, Small.job(6, 1_800, 3_200, TASK_MILLIS, ""), 10_000),
                    "a job was not accepted");
            paths.add(path);
        }
        Record.sleep(1_000);
        Minion leaving = minions.get(0);
        require(
                record.runs.stream().anyMatch(run -> run.minion.equals(leaving.id)),
                "no task runs on the minion that leaves");
        int confirmed = leaving.drain();
        record.line("minion " + leaving.id + " says that it drains, answered " + confirmed);
        require(confirmed == 200, "draining was not confirmed");
        Record.sleep(DRAIN_MILLIS);
        if (trouble) {
            for (int number = 0; number < Cluster.CORE; number++) {
                cluster.kill("control-" + number);
            }
            Small.after(
                    BACK_MILLIS,
                    () -> {
                        try {
                            for (int number = 0; number < Cluster.CORE; number++) {
                                cluster.startControl(number, false);
                            }
                        } catch (java.io.IOException exception) {
                            record.line("start: " + exception);
                        }
                    });
        }
        record.line("minion " + leaving.id + " deregisters");
        int status = leaving.deregister();
        record.line("deregister answered " + status);
        if (status != 200) {
            Record.sleep(UNCONFIRMED_END_MILLIS);
        }
        leaving.end("left");
        for (String path : paths) {
            cluster.awaitState(path, "completed", 40_000);
        }
        Record.sleep(1_000);
        return record.runsTwice();
    }

    public static void main(String[] arguments) throws Exception {
        new LeaveWithoutLeader().run(arguments[0]);
    }
}
