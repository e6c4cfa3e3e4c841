import java.util.ArrayList;
import java.util.List;

/**
 * One of ten minions goes down and up by turns: it is up for half a period and down for the other
 * half. Its runs are gone each time; no run ever ends as failed.
 */
final class FlappingMinion extends Script {

    private static final int MINIONS = 10;
    private static final String SERVICE = "easel-desk";
    private static final long PERIOD_MILLIS = 1_040;
    private static final long FLAPPING_MILLIS = 7_100;
    private static final long PAUSE_MILLIS = 3_000;
    private static final int TIMES = 5;
    private static final long TASK_MILLIS = 3_143;
    private static final long JOB_INTERVAL_MILLIS = 250;

    @Override
    List<String> play(Cluster cluster, Record record) throws Exception {
        List<Minion> minions = Small.start(cluster, record, MINIONS, SERVICE, spec -> TASK_MILLIS);
        long end = record.millis() + TIMES * (FLAPPING_MILLIS + PAUSE_MILLIS);
        Thread flapping =
                new Thread(
                        () -> {
                            try {
                                flap(cluster, record, minions.get(0), end);
                            } catch (Exception exception) {
                                record.line("flapping: " + exception);
                            }
                        });
        flapping.setDaemon(true);
        if (trouble) {
            flapping.start();
        }
        List<String> paths = new ArrayList<>();
        for (int job = 0; record.millis() < end; job++) {
            String path = Small.PREFIX + String.format("%016x", 0xf1a0000000L + job);
            if (cluster.submit(path, Small.job(4, 1_800, 3_200, TASK_MILLIS, ""), 3_000)) {
                paths.add(path);
            }
            Record.sleep(JOB_INTERVAL_MILLIS);
        }
        Record.sleep(20_000);
        List<String> breaks = new ArrayList<>();
        int completed = 0;
        for (String path : paths) {
            String answer = cluster.state(path, 0).body();
            completed += answer.contains("\"completed\"") ? 1 : 0;
            if (answer.contains("\"failed\"")) {
                breaks.add("LOST " + path + " is shown as failed, and no run of it has failed");
            }
        }
        record.line(completed + " of " + paths.size() + " jobs are completed");
        require(completed > paths.size() / 2, "too few jobs were completed");
        return breaks;
    }

    private static void flap(Cluster cluster, Record record, Minion first, long end)
            throws Exception {
        Minion minion = first;
        while (record.millis() < end) {
            long until = record.millis() + FLAPPING_MILLIS;
            while (record.millis() < until) {
                minion.end("crash");
                Record.sleep(PERIOD_MILLIS / 2);
                minion = Small.minion(cluster, record, 0, "i-0", SERVICE, spec -> TASK_MILLIS);
                Record.sleep(PERIOD_MILLIS / 2);
            }
            Record.sleep(PAUSE_MILLIS);
        }
    }

    public static void main(String[] arguments) throws Exception {
        new FlappingMinion().run(arguments[0]);
    }
}
