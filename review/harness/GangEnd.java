import java.util.List;

/**
 * A gang of two tasks ends as done on two of six minions. The second one is cut off before, crashes
 * behind the cut and starts again, so that only the end on the first one is ever seen.
 */
final class GangEnd extends Script {

    private static final String SERVICE = "easel-desk";
    private static final long TASK_MILLIS = 5_000;

    @Override
    List<String> play(Cluster cluster, Record record) throws Exception {
        List<Minion> minions = Small.start(cluster, record, 6, SERVICE, spec -> TASK_MILLIS);
        String path = Small.PREFIX + "0000000096a90001";
        require(
                cluster.submit(
                        path,
                        Small.job(2, 1_800, 3_200, 5_000, ",\"gang\":true,\"anti_affinity\":1"),
                        10_000),
                "the job was not accepted");
        Record.sleep(3_500);
        require(record.runs.size() == 2, "the gang does not run");
        int second = Integer.parseInt(record.runs.get(1).minion.substring(2));
        if (trouble) {
            Minion minion = minions.get(second);
            minion.cutOff = true;
            record.line("minion " + minion.id + " is cut off");
            while (record.runs.get(1).how.isEmpty()) {
                Record.sleep(5);
            }
            Record.sleep(1_500);
            minion.end("crash");
            Record.sleep(1_500);
            Small.minion(cluster, record, second, minion.id, SERVICE, spec -> TASK_MILLIS);
            record.line("minion " + minion.id + " has started again, and the cut has healed");
        }
        String last = cluster.awaitState(path, "completed", 25_000);
        boolean again = record.runs.size() > 2;
        record.line("runs begun: " + record.runs.size());
        List<String> breaks = record.runsTwice();
        if (!last.contains("completed") && !again) {
            breaks.add("LOST " + path + " has nothing running, with minions idle: " + last);
        }
        return breaks;
    }

    public static void main(String[] arguments) throws Exception {
        new GangEnd().run(arguments[0]);
    }
}
