import java.io.IOException;
import java.net.ServerSocket;
import java.net.InetAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * A small deployment: three machines with a disk that run control and entry, and one machine for
 * each minion. All addresses are loopback addresses; processes start with the commands of
 * deploy/system.toml.
 */
final class Cluster implements AutoCloseable {

    static final int CORE = 3;
    private static final String[] ZONES = {"medina-a", "kasbah-b", "souk-c"};

    final Record record;
    private final Path directory;
    private final String prefix;
    private final int port;
    private final Map<String, Process> processes = new LinkedHashMap<>();
    private final Map<String, String> commands = new LinkedHashMap<>();

    Cluster(Record record) throws IOException {
        this.record = record;
        directory = Files.createTempDirectory("yuccabank-review");
        Random random = new Random();
        prefix = "127." + (20 + random.nextInt(200)) + "." + (1 + random.nextInt(250)) + ".";
        port = freePorts(random);
        String deploy = Files.readString(Path.of("deploy/system.toml"));
        Matcher roles =
                Pattern.compile("\\[roles\\.(\\w+)\\]\\s+run = \"([^\"]*)\"").matcher(deploy);
        while (roles.find()) {
            commands.put(roles.group(1), roles.group(2));
        }
    }

    private int freePorts(Random random) throws IOException {
        for (int tries = 0; tries < 100; tries++) {
            int first = 20_000 + random.nextInt(10_000);
            boolean free = true;
            for (int offset = 0; offset < 8 && free; offset++) {
                try (ServerSocket socket =
                        new ServerSocket(first + offset, 1, InetAddress.getByName(prefix + "11"))) {
                    free = socket.isBound();
                } catch (IOException exception) {
                    free = false;
                }
            }
            if (free) {
                return first;
            }
        }
        throw new IOException("no free ports");
    }

    String controlAddress(int number) {
        return prefix + (11 + number) + ":" + port;
    }

    String entryAddress(int number) {
        return prefix + (11 + number) + ":" + (port + 1);
    }

    String readyAddress(int number) {
        return prefix + (11 + number) + ":" + (port + 2);
    }

    String agentAddress(int number) {
        return prefix + (31 + number) + ":" + port;
    }

    String minionAddress(int number) {
        return prefix + (31 + number) + ":" + (port + 3);
    }

    static String zone(int number) {
        return ZONES[number % ZONES.length];
    }

    void startCore(boolean bootstrap) throws IOException {
        for (int number = 0; number < CORE; number++) {
            startControl(number, bootstrap);
        }
        for (int number = 0; number < CORE; number++) {
            start("entry", "entry-" + number, coreSettings("entry", number, bootstrap));
        }
    }

    void startControl(int number, boolean bootstrap) throws IOException {
        start("control", "control-" + number, coreSettings("control", number, bootstrap));
    }

    void startAgent(int number, boolean bootstrap) throws IOException {
        String ip = prefix + (31 + number);
        String settings =
                common("side-" + zone(number) + "-" + number, "agent", "side", ip, number, bootstrap)
                        + "bind_addrs:\n  control_plane: \""
                        + agentAddress(number)
                        + "\"\napp: \""
                        + minionAddress(number)
                        + "\"\ndata_dir: null\n";
        start("agent", "agent-" + number, settings);
    }

    private String coreSettings(String role, int number, boolean bootstrap) {
        String ip = prefix + (11 + number);
        return common("edge-" + zone(number) + "-1", role, "edge", ip, number, bootstrap)
                + "bind_addrs:\n  frontend: \""
                + entryAddress(number)
                + "\"\n  ready: \""
                + readyAddress(number)
                + "\"\n  control_plane: \""
                + controlAddress(number)
                + "\"\ndata_dir: \""
                + directory.resolve("data-" + role + "-" + number)
                + "\"\n";
    }

    private String common(
            String name, String role, String machineClass, String ip, int number, boolean first) {
        StringBuilder seeds = new StringBuilder();
        for (int seed = 0; seed < CORE; seed++) {
            seeds.append("  - \"").append(controlAddress(seed)).append("\"\n");
        }
        return String.join(
                "\n",
                "node_name: \"" + name + "\"",
                "role: \"" + role + "\"",
                "machine_class: \"" + machineClass + "\"",
                "ip: \"" + ip + "\"",
                "zone: \"" + zone(number) + "\"",
                "region: \"maroc-south\"",
                "internal_ports:",
                "  - " + (port + 4),
                "  - " + (port + 7),
                "seeds:",
                seeds + "bootstrap: " + first,
                "in_fault_domain: " + machineClass.equals("edge"),
                "discovery: \"local\"",
                "entry: \"vip\"",
                "heartbeat_ms: 1100",
                "fault_tolerance: {machines: 1, zones: 0, regions: 0}",
                "bounds: {contact_ms: 3000, ack_ms: 4000, drain_ms: 2000, grace_s: 6,"
                        + " config_apply_ms: 2000, recovery_s: 12, hold_max_ms: 10000,"
                        + " stop_ms: 200, cancel_ms: 3000, visible_ms: 3000, lease_ms: 3000}",
                "config_mode: \"highest\"",
                "commands: \"invocation\"",
                "");
    }

    private void start(String role, String name, String settings) throws IOException {
        Path file = Files.writeString(directory.resolve(name + ".yaml"), settings);
        ProcessBuilder builder = new ProcessBuilder(Arrays.asList(commands.get(role).split(" ")));
        builder.environment().put("YUCCABANK_CONFIG", file.toString());
        builder.redirectErrorStream(true);
        builder.redirectOutput(
                ProcessBuilder.Redirect.appendTo(directory.resolve(name + ".log").toFile()));
        Process process = builder.start();
        processes.put(name, process);
        record.line("started " + name);
    }

    boolean isAlive(String name) {
        return processes.get(name).isAlive();
    }

    /** Returns the exit code of a process that has ended. */
    int exitCode(String name) {
        return processes.get(name).exitValue();
    }

    void kill(String name) throws InterruptedException {
        processes.get(name).destroyForcibly().waitFor();
        record.line("killed " + name);
    }

    /** Sends a signal, by its name, to a process that this cluster has started. */
    void signal(String name, String signal) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + signal, String.valueOf(processes.get(name).pid()))
                .inheritIO()
                .start()
                .waitFor();
        record.line("sent " + signal + " to " + name);
    }

    String log(String name) throws IOException {
        return Files.readString(directory.resolve(name + ".log"));
    }

    /** Returns the number of the control process that was elected last, -1 if none was. */
    int leader() throws IOException {
        int leader = -1;
        long newest = -1;
        for (int number = 0; number < CORE; number++) {
            Matcher matcher =
                    Pattern.compile("leader[-_.]elected[^\\n]*?\"term\":\"?(\\d+)")
                            .matcher(log("control-" + number));
            while (matcher.find()) {
                long term = Long.parseLong(matcher.group(1));
                if (term > newest) {
                    newest = term;
                    leader = number;
                }
            }
        }
        return leader;
    }

    // Operator

    static String route(String name, String host, String prefix, String service) {
        return "{\"name\":\""
                + name
                + "\",\"host\":\""
                + host
                + "\",\"path_prefix\":\""
                + prefix
                + "\",\"kind\":\"non_idempotent\",\"timeout_ms\":3000,\"completion_target_ms\":1000,"
                + "\"priority\":2,\"service\":\""
                + service
                + "\",\"max_attempts\":4,\"slack_factor\":2.0}";
    }

    static String manifest(long version, String service, List<String> routes) {
        return "{\"version\":"
                + version
                + ",\"routes\":["
                + String.join(",", routes)
                + "],\"services\":[{\"name\":\""
                + service
                + "\",\"health_path\":\"/healthz\",\"max_conns\":64,\"protocol\":\"h1\","
                + "\"tls\":false,\"admission_control\":false,\"standby\":false}],"
                + "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":262144,"
                + "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}";
    }

    /** Sends a manifest to one node after the other until one acknowledges it. */
    boolean replaceManifest(String manifest, long limitMillis, long callMillis) {
        long end = record.millis() + limitMillis;
        for (int number = 0; record.millis() < end; number++) {
            Http.Answer answer =
                    Http.call(
                            "POST",
                            controlAddress(number % CORE),
                            "/api/config/replace",
                            manifest,
                            callMillis);
            if (answer.status() == 200) {
                return true;
            }
            Record.sleep(100);
        }
        return false;
    }

    // Clients

    /** Hands a job in, at one entry after the other, until it is accepted. */
    boolean submit(String path, String job, long limitMillis) {
        long end = record.millis() + limitMillis;
        for (int number = 0; record.millis() < end; number++) {
            Http.Answer answer =
                    Http.call("POST", entryAddress(number % CORE), path, job, 3_000);
            record.line("client POST " + path + " answered " + answer.status());
            if (answer.status() == 200) {
                return true;
            }
            Record.sleep(300);
        }
        return false;
    }

    Http.Answer state(String path, int entry) {
        return Http.call("GET", entryAddress(entry % CORE), path, "", 3_000);
    }

    String awaitState(String path, String wanted, long limitMillis) {
        long end = record.millis() + limitMillis;
        String last = "";
        for (int number = 0; record.millis() < end; number++) {
            Http.Answer answer = state(path, number);
            last = answer.status() + " " + answer.body();
            if (answer.body().contains("\"" + wanted + "\"")) {
                break;
            }
            Record.sleep(300);
        }
        record.line("client GET " + path + " answered " + last);
        return last;
    }

    /** Waits until all entries are ready. */
    boolean awaitReady(long limitMillis) {
        long end = record.millis() + limitMillis;
        while (record.millis() < end) {
            int ready = 0;
            for (int number = 0; number < CORE; number++) {
                ready +=
                        Http.call("GET", readyAddress(number), "/api/readyz", "", 1_000).status()
                                        == 200
                                ? 1
                                : 0;
            }
            if (ready == CORE) {
                return true;
            }
            Record.sleep(200);
        }
        return false;
    }

    @Override
    public void close() throws IOException {
        for (Process process : processes.values()) {
            process.destroyForcibly();
        }
        for (Process process : processes.values()) {
            try {
                process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException exception) {
                Thread.currentThread().interrupt();
            }
        }
        if (System.getenv("KEEP") != null) {
            record.line("kept " + directory);
            return;
        }
        List<Path> files = new ArrayList<>();
        try (Stream<Path> walk = Files.walk(directory)) {
            walk.sorted(Comparator.reverseOrder()).forEach(files::add);
        }
        for (Path file : files) {
            Files.deleteIfExists(file);
        }
    }
}
