import java.util.ArrayList;
import java.util.List;

/**
 * A client of the urgent queue hands in one gang that needs more room than all minions have. Jobs
 * of the other queue are handed in meanwhile; the minions are idle.
 */
final class HopelessGang extends Script {

    private static final int MINIONS = 3;
    private static final String SERVICE = "easel-desk";
    private static final String URGENT_PREFIX = "/sketch-preview/";
    private static final long TASK_MILLIS = 1_143;
    private static final long WATCHED_MILLIS = 30_000;

    /** The bound of the rule. */
    private static final long IDLE_MILLIS = 3_000;

    @Override
    List<String> play(Cluster cluster, Record record) throws Exception {
        Small.start(cluster, record, MINIONS, SERVICE, spec -> TASK_MILLIS);
        List<String> routes = Small.routes(cluster, SERVICE);
        for (int entry = 0; entry < Cluster.CORE; entry++) {
            routes.add(
                    routes.get(entry)
                            .replace("\"r-", "\"u-")
                            .replace(Small.PREFIX, URGENT_PREFIX)
                            .replace("\"priority\":2", "\"priority\":0"));
        }
        require(
                cluster.replaceManifest(Cluster.manifest(2, SERVICE, routes), 10_000, 1_000),
                "the second manifest was not acknowledged");
        if (trouble) {
            String gang = Small.job(8, 15_000, 1_000, 20_000, ",\"gang\":true");
            require(
                    cluster.submit(URGENT_PREFIX + "00000000dead0001", gang, 10_000),
                    "the gang was not accepted");
        }
        List<String> ids = new ArrayList<>();
        List<Long> accepted = new ArrayList<>();
        for (int job = 0; job < 3; job++) {
            String id = String.format("%016x", 0x90b000000L + job);
            require(
                    cluster.submit(
                            Small.PREFIX + id,
                            Small.job(2, 1_800, 3_200, TASK_MILLIS, ""),
                            10_000),
                    "a job was not accepted");
            ids.add(id);
            accepted.add(record.millis());
        }
        Record.sleep(WATCHED_MILLIS);
        List<String> breaks = new ArrayList<>();
        for (int job = 0; job < ids.size(); job++) {
            String id = ids.get(job);
            long waited = record.millis() - accepted.get(job);
            boolean started = record.runs.stream().anyMatch(run -> run.task.startsWith(id));
            record.line(
                    "job " + id + (started ? " was started" : " waited for " + waited + " ms"));
            if (!started && waited > IDLE_MILLIS) {
                breaks.add(
                        "LOST job "
                                + id
                                + " had nothing running for "
                                + waited
                                + " ms, with all minions idle");
            }
        }
        cluster.awaitState(Small.PREFIX + ids.get(0), "completed", 500);
        return breaks;
    }

    public static void main(String[] arguments) throws Exception {
        new HopelessGang().run(arguments[0]);
    }
}
