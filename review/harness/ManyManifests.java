import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * The manifest has grown by many routes, and the operator changes it a few hundred times, in storms
 * with pauses. Two jobs are accepted before that and are asked for afterwards. A control process
 * that ends is started again, as the platform does. Without the disruption the manifest keeps its
 * usual size and is changed as often.
 */
final class ManyManifests extends Script {

    private static final int USUAL_ROUTES = 240;
    private static final int MORE_ROUTES = 1_664;
    private static final int CHANGES = 400;
    private static final int CHANGES_IN_STORM = 24;
    private static final long GAP_MILLIS = 60;
    private static final long PAUSE_MILLIS = 500;
    private static final long CHANGES_END_MILLIS = 74_000;
    private static final long FINISH_MILLIS = 14_000;
    private static final String SERVICE = "ordini";

    private final int[] ends = new int[Cluster.CORE];

    private void watch(Cluster cluster, Record record) {
        while (true) {
            for (int number = 0; number < Cluster.CORE; number++) {
                String name = "control-" + number;
                if (!cluster.isAlive(name)) {
                    ends[number]++;
                    record.line(name + " has ended with code " + cluster.exitCode(name));
                    Record.sleep(500);
                    try {
                        cluster.startControl(number, false);
                    } catch (java.io.IOException exception) {
                        record.line("start: " + exception);
                    }
                }
            }
            Record.sleep(200);
        }
    }

    @Override
    List<String> play(Cluster cluster, Record record) throws Exception {
        Small.start(cluster, record, 2, SERVICE, spec -> Long.MAX_VALUE);
        Thread watcher = new Thread(() -> watch(cluster, record));
        watcher.setDaemon(true);
        watcher.start();
        List<String> paths = new ArrayList<>();
        for (int job = 0; job < 2; job++) {
            String path = Small.PREFIX + String.format("%016x", 0xb16c0000L + job);
            require(
                    cluster.submit(
                            path,
                            Small.job(2, 3_200, 6_400, 400, ",\"long_running\":true"),
                            10_000),
                    "a job was not accepted");
            paths.add(path);
        }
        int idle = USUAL_ROUTES + (trouble ? MORE_ROUTES : 0);
        List<String> routes = Small.routes(cluster, SERVICE);
        for (int route = 0; route < idle; route++) {
            String host = "h" + route % 40 + ".example";
            routes.add(Cluster.route("idle-" + route, host, "/p" + route + "/", SERVICE));
        }
        long version = 1;
        int acknowledged = 0;
        int size = 0;
        for (int change = 0; change < CHANGES && record.millis() < CHANGES_END_MILLIS; change++) {
            version += 1 + change % 3;
            routes.set(
                    routes.size() - 1,
                    Cluster.route("last-" + version, "last.example", "/v" + version + "/", SERVICE));
            String manifest = Cluster.manifest(version, SERVICE, routes);
            size = manifest.length();
            // ack_ms is 4 s.
            if (cluster.replaceManifest(manifest, 4_000, 1_500)) {
                acknowledged++;
            } else {
                record.line("operator: version " + version + " is not acknowledged within 4 s");
            }
            Record.sleep(change % CHANGES_IN_STORM == 0 ? PAUSE_MILLIS : GAP_MILLIS);
        }
        record.line(
                "operator: "
                        + acknowledged
                        + " changes of "
                        + size
                        + " bytes were acknowledged; the last version sent is "
                        + version);
        Record.sleep(FINISH_MILLIS);
        List<String> breaks = new ArrayList<>();
        for (String path : paths) {
            String last = cluster.awaitState(path, "active", 6_000);
            if (!last.startsWith("200")) {
                breaks.add("LOST " + path + " was accepted and is answered by " + last);
            }
        }
        long crashing = Arrays.stream(ends).filter(count -> count >= 3).count();
        record.line("control processes ended by themselves: " + Arrays.toString(ends));
        if (2 * crashing > Cluster.CORE) {
            breaks.add("FAULT on half of the core processes ended by themselves three times");
        }
        return breaks;
    }

    public static void main(String[] arguments) throws Exception {
        new ManyManifests().run(arguments[0]);
    }
}
