import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/**
 * Seven minions under the usual load of small jobs. Minions leave 55 of 1,000 start orders
 * unanswered and carry them out 2 to 8 s later; one of them refuses 4 of 10 start orders with 503.
 */
final class LateStart extends Script {

    private static final int MINIONS = 7;
    private static final String SERVICE = "easel-desk";
    private static final double LATE_SHARE = 0.055;
    private static final double REFUSED_SHARE = 0.4;
    private static final long TROUBLE_MILLIS = 60_000;
    private static final long TASK_MILLIS = 1_143;
    private static final long JOB_INTERVAL_MILLIS = 256;

    @Override
    List<String> play(Cluster cluster, Record record) throws Exception {
        List<Minion> minions = Small.start(cluster, record, MINIONS, SERVICE, spec -> TASK_MILLIS);
        Random random = new Random();
        long end = record.millis() + TROUBLE_MILLIS;
        if (trouble) {
            for (Minion minion : minions) {
                boolean busy = minion == minions.get(0);
                minion.startFault =
                        (exchange, task, attempt, carryOut) -> {
                            if (record.millis() > end) {
                                return false;
                            }
                            String run = task + "#" + attempt;
                            double late;
                            double refused;
                            long delay;
                            synchronized (random) {
                                late = random.nextDouble();
                                refused = random.nextDouble();
                                delay = 2_000 + random.nextInt(6_000);
                            }
                            if (late < LATE_SHARE) {
                                record.line(
                                        "minion " + minion.id + " leaves " + run + " unanswered");
                                Small.after(delay, carryOut);
                                return true;
                            }
                            if (busy && refused < REFUSED_SHARE) {
                                record.line("minion " + minion.id + " answers 503 to " + run);
                                minion.answer(exchange, 503, "{}");
                                return true;
                            }
                            return false;
                        };
            }
        }
        List<String> paths = new ArrayList<>();
        for (int job = 0; record.millis() < end; job++) {
            String path = Small.PREFIX + String.format("%016x", 0x5eed000000L + job);
            if (cluster.submit(path, Small.job(6, 240, 480, TASK_MILLIS, ""), 3_000)) {
                paths.add(path);
            }
            Record.sleep(JOB_INTERVAL_MILLIS);
        }
        Record.sleep(10_000);
        int completed = 0;
        for (String path : paths) {
            completed += cluster.state(path, 0).body().contains("\"completed\"") ? 1 : 0;
        }
        record.line(completed + " of " + paths.size() + " jobs are completed");
        require(completed > paths.size() / 2, "too few jobs were completed");
        return record.runsTwice();
    }

    public static void main(String[] arguments) throws Exception {
        new LateStart().run(arguments[0]);
    }
}
