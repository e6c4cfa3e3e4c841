import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/**
 * A client hands in one job of 18 stages with three steps each. Each step names the three steps of
 * the stage before in depends_on; without the disruption it names only one of them. Three jobs
 * are accepted before, another one is handed in afterwards.
 */
final class DeepJob extends Script {

    private static final int STAGES = 18;
    private static final int WIDTH = 3;
    private static final int STEPS = STAGES * WIDTH;
    private static final String SERVICE = "easel-desk";
    private static final long TASK_MILLIS = 1_143;

    private String deepJob() {
        String steps =
                IntStream.range(0, STEPS)
                        .mapToObj(this::step)
                        .collect(Collectors.joining(","));
        return "{\"spec\":\"album\",\"steps\":[" + steps + "]}";
    }

    private String step(int number) {
        int stage = number / WIDTH;
        int previous = (stage - 1) * WIDTH;
        String earlier =
                trouble
                        ? previous + "," + (previous + 1) + "," + (previous + 2)
                        : String.valueOf(number - WIDTH);
        return "{\"count\":1,\"cpu\":240,\"mem_mb\":480,\"estimate_ms\":1143"
                + (stage == 0 ? "" : ",\"depends_on\":[" + earlier + "]")
                + "}";
    }

    @Override
    List<String> play(Cluster cluster, Record record) throws Exception {
        Small.start(cluster, record, 3, SERVICE, spec -> TASK_MILLIS);
        List<String> paths = new ArrayList<>();
        for (int number = 0; number < 3; number++) {
            String path = Small.PREFIX + String.format("%016x", 0x0dd00000L + number);
            require(
                    cluster.submit(path, Small.job(60, 4_000, 480, TASK_MILLIS, ""), 10_000),
                    "a job was not accepted");
            paths.add(path);
        }
        String deep = Small.PREFIX + "00000000dee90000";
        String job = deepJob();
        record.line("client hands in a job of " + STEPS + " steps, " + job.length() + " bytes");
        if (cluster.submit(deep, job, 6_000)) {
            paths.add(deep);
        }
        String after = Small.PREFIX + "00000000af7e0002";
        if (cluster.submit(after, Small.job(4, 240, 480, TASK_MILLIS, ""), 6_000)) {
            paths.add(after);
        }
        // finish_s is 14 s.
        Record.sleep(14_000);
        List<String> breaks = new ArrayList<>();
        for (String path : paths) {
            String last = cluster.awaitState(path, "completed", 10_000);
            if (!last.startsWith("200")) {
                breaks.add("LOST " + path + " was accepted and is answered by " + last);
            }
        }
        for (int number = 0; number < Cluster.CORE; number++) {
            boolean alive = cluster.isAlive("control-" + number);
            record.line("control-" + number + (alive ? " runs" : " has ended"));
        }
        return breaks;
    }

    public static void main(String[] arguments) throws Exception {
        new DeepJob().run(arguments[0]);
    }
}
