import java.util.ArrayList;
import java.util.List;

/**
 * While tasks run on all minions, one status report of another writer arrives at an agent. It names
 * a service that no manifest names; all else in it is well formed.
 */
final class ForeignReport extends Script {

    private static final int MINIONS = 3;
    private static final String SERVICE = "easel-desk";
    private static final long TASK_MILLIS = 8_000;

    @Override
    List<String> play(Cluster cluster, Record record) throws Exception {
        List<Minion> minions = Small.start(cluster, record, MINIONS, SERVICE, spec -> TASK_MILLIS);
        List<String> paths = new ArrayList<>();
        for (int job = 0; job < 2; job++) {
            String path = Small.PREFIX + String.format("%016x", 0xf0de000000L + job);
            require(
                    cluster.submit(path, Small.job(6, 1_800, 3_200, TASK_MILLIS, ""), 10_000),
                    "a job was not accepted");
            paths.add(path);
        }
        Record.sleep(2_000);
        Minion busiest = null;
        long most = 0;
        for (Minion minion : minions) {
            long count = record.runs.stream().filter(run -> run.minion.equals(minion.id)).count();
            if (count > most) {
                most = count;
                busiest = minion;
            }
        }
        require(busiest != null, "no task was started");
        if (trouble) {
            String report =
                    Minion.heartbeat(
                            "print-archive",
                            "127.0.0.1:9",
                            Cluster.zone(0),
                            false,
                            1_000,
                            1,
                            System.currentTimeMillis());
            Http.Answer answer =
                    Http.call(
                            "POST",
                            busiest.agentAddress,
                            "/api/minions/i-other/heartbeat",
                            report,
                            1_000);
            record.line(
                    "another writer reports i-other of print-archive to the agent of "
                            + busiest.id
                            + ", answered "
                            + answer.status());
        }
        for (String path : paths) {
            cluster.awaitState(path, "completed", 40_000);
        }
        Record.sleep(1_000);
        return record.runsTwice();
    }

    public static void main(String[] arguments) throws Exception {
        new ForeignReport().run(arguments[0]);
    }
}
