import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;

/** What the scripts have in common: a small deployment with one service, ready to take jobs. */
final class Small {

    static final String HOST = "127.0.0.1";
    static final String PREFIX = "/print-render/";

    private Small() {}

    static List<Minion> start(
            Cluster cluster,
            Record record,
            int count,
            String service,
            Function<String, Long> lengthOf)
            throws Exception {
        cluster.startCore(true);
        List<Minion> minions = new ArrayList<>();
        for (int number = 0; number < count; number++) {
            cluster.startAgent(number, true);
        }
        Script.require(
                cluster.replaceManifest(
                        Cluster.manifest(1, service, routes(cluster, service)), 30_000, 1_000),
                "the first manifest was not acknowledged");
        record.line("operator: version 1 is acknowledged");
        Script.require(cluster.awaitReady(20_000), "the entries are not ready");
        for (int number = 0; number < count; number++) {
            minions.add(minion(cluster, record, number, "i-" + number, service, lengthOf));
        }
        Record.sleep(4_500);
        return minions;
    }

    static Minion minion(
            Cluster cluster,
            Record record,
            int number,
            String id,
            String service,
            Function<String, Long> lengthOf)
            throws Exception {
        return new Minion(
                id,
                cluster.minionAddress(number),
                cluster.agentAddress(number),
                Cluster.zone(number),
                service,
                record,
                lengthOf);
    }

    /** One route for the host name of each entry, as clients call the entries by their addresses. */
    static List<String> routes(Cluster cluster, String service) {
        List<String> routes = new ArrayList<>();
        for (int entry = 0; entry < Cluster.CORE; entry++) {
            String address = cluster.entryAddress(entry);
            String host = address.substring(0, address.indexOf(':'));
            routes.add(Cluster.route("r-" + entry, host, PREFIX, service));
        }
        return routes;
    }

    static String job(int count, int cpu, int memory, long estimateMillis, String more) {
        return "{\"spec\":\"print\",\"steps\":[{\"count\":"
                + count
                + ",\"cpu\":"
                + cpu
                + ",\"mem_mb\":"
                + memory
                + ",\"estimate_ms\":"
                + estimateMillis
                + more
                + "}]}";
    }

    static void after(long millis, Runnable action) {
        Thread thread =
                new Thread(
                        () -> {
                            Record.sleep(millis);
                            action.run();
                        });
        thread.setDaemon(true);
        thread.start();
    }
}
