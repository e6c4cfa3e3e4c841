package org.yuccabank.platform;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import org.yuccabank.protocol.Forwarder;

/**
 * Processes of the platform's roles on loopback addresses of their own: three control processes, an
 * entry, and agents whose links to the control processes can be cut. Ends only processes that it
 * has started. Confined to one thread, except for calls.
 */
final class SoakCluster implements AutoCloseable {

    static final int CONTROL_COUNT = 3;

    private static final int CONTROL_PORT = 7_720;
    private static final int PORT = 8_160;
    private static final String MANIFEST =
            "{\"version\":3,\"routes\":[{\"name\":\"q\",\"host\":\"%s\","
                    + "\"path_prefix\":\"/jobs/\",\"timeout_ms\":3000,\"service\":\"s\","
                    + "\"max_attempts\":4,\"slack_factor\":1.5}],"
                    + "\"services\":[{\"name\":\"s\"}]}";

    /** Number of clusters so far, each of which uses addresses of its own. */
    private static final AtomicInteger CLUSTERS = new AtomicInteger();

    private final Path directory;
    private final String network;
    private final int firstMachine;
    private final int hostCount;
    private final HttpClient http = HttpClient.newHttpClient();
    private final Map<String, Process> processes = new ConcurrentHashMap<>();
    private final List<List<Forwarder>> links = new ArrayList<>();
    private String killedLeader = "";

    private SoakCluster(Path directory, int hostCount) {
        this.directory = directory;
        this.hostCount = hostCount;
        // No two processes on the machine share a pair of these numbers at the same time.
        long pid = ProcessHandle.current().pid();
        network = "127." + (10 + pid / 250 % 200) + "." + (1 + pid % 250) + ".";
        firstMachine = 1 + CLUSTERS.getAndIncrement() % 24 * 10;
    }

    /** Creates a cluster, whose processes also end with this process. */
    static SoakCluster of(Path directory, int hostCount) {
        SoakCluster cluster = new SoakCluster(directory, hostCount);
        Runtime.getRuntime().addShutdownHook(new Thread(cluster::killAll, "soak-kill"));
        return cluster;
    }

    /** Starts all processes and waits until a leader has accepted the manifest. */
    void start() throws IOException {
        for (int host = 0; host < hostCount; host++) {
            List<Forwarder> forwarders = new ArrayList<>();
            for (int control = 0; control < CONTROL_COUNT; control++) {
                forwarders.add(
                        Forwarder.start(
                                address(control, forwarderPort(host)),
                                address(control, CONTROL_PORT)));
            }
            links.add(forwarders);
        }
        for (int control = 0; control < CONTROL_COUNT; control++) {
            launch("control-" + control, control);
        }
        launch("entry", CONTROL_COUNT);
        for (int host = 0; host < hostCount; host++) {
            startAgent(host);
        }
        awaitManifest();
    }

    private static int forwarderPort(int host) {
        return 7_800 + host;
    }

    private String ip(int machine) {
        return network + (firstMachine + machine);
    }

    private InetSocketAddress address(int machine, int port) {
        return new InetSocketAddress(ip(machine), port);
    }

    InetSocketAddress workerAddress(int host) {
        return address(agentMachine(host), PORT + 3);
    }

    private static int agentMachine(int host) {
        return CONTROL_COUNT + 1 + host;
    }

    private void launch(String name, int machine, String... agentArguments) throws IOException {
        String address = ip(machine);
        Path file = directory.resolve(name + ".yaml");
        List<String> lines = new ArrayList<>();
        lines.add("node_name: \"" + name + "\"");
        lines.add("ip: \"" + address + "\"");
        lines.add("zone: \"z\"");
        lines.add("bootstrap: " + !Files.exists(file));
        if (machine < CONTROL_COUNT) {
            lines.add("data_dir: \"" + directory.resolve(name + "-data") + "\"");
        }
        lines.add("internal_ports: [" + CONTROL_PORT + ", " + (CONTROL_PORT + 15) + "]");
        lines.add("seeds:");
        for (int control = 0; control < CONTROL_COUNT; control++) {
            lines.add("  - \"" + ip(control) + ":" + PORT + "\"");
        }
        lines.add("bind_addrs:");
        lines.add("  control_plane: \"" + address + ":" + PORT + "\"");
        lines.add("  frontend: \"" + address + ":" + (PORT + 1) + "\"");
        lines.add("  ready: \"" + address + ":" + (PORT + 2) + "\"");
        lines.add("app: \"" + address + ":" + (PORT + 3) + "\"");
        lines.add("bounds: {hold_max_ms: 9000, contact_ms: 3000}");
        lines.add("fault_tolerance: {machines: 1}");
        Files.write(file, lines);
        List<String> command = new ArrayList<>();
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.addAll(
                List.of("-Xmx96m", "-Xss256k", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1"));
        command.addAll(List.of("-cp", System.getProperty("java.class.path")));
        if (agentArguments.length > 0) {
            command.addAll(List.of(SoakAgent.class.getName(), file.toString()));
            command.addAll(List.of(agentArguments));
        } else {
            command.add(PlatformMain.class.getName());
            command.add(name.replaceAll("-.*", ""));
        }
        ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true);
        builder.environment().put("YUCCABANK_CONFIG", file.toString());
        Path log = directory.resolve(name + ".log");
        processes.put(
                name,
                builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile())).start());
    }

    private void awaitManifest() throws IOException {
        String manifest = String.format(MANIFEST, ip(CONTROL_COUNT));
        for (int attempt = 0; attempt < 200; attempt++) {
            if (call("POST", 0, PORT, "/api/config/replace", manifest).startsWith("200")) {
                return;
            }
            pause(100);
        }
        throw new IOException("no leader within 20 s");
    }

    private static void pause(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        }
    }

    /** Kills the leader. Does nothing while another one is down or there is none. */
    void killLeader() {
        for (int control = 0; killedLeader.isEmpty() && control < CONTROL_COUNT; control++) {
            String metrics = call("GET", control, CONTROL_PORT + 1, "/metrics", "");
            if (metrics.matches("(?s).*replica_is_leader 1(\\.0)?\\b.*")) {
                killedLeader = "control-" + control;
                kill(killedLeader);
            }
        }
    }

    /** Starts the leader that was killed. */
    void startKilledLeader() throws IOException {
        if (!killedLeader.isEmpty()) {
            launch(killedLeader, Integer.parseInt(killedLeader.replaceAll(".*-", "")));
            killedLeader = "";
        }
    }

    void killAgent(int host) {
        kill("agent-" + host);
    }

    /** Starts an agent unless it runs. */
    void startAgent(int host) throws IOException {
        Process process = processes.get("agent-" + host);
        if (process == null || !process.isAlive()) {
            launch("agent-" + host, agentMachine(host), String.valueOf(forwarderPort(host)));
        }
    }

    private void kill(String name) {
        processes.get(name).destroyForcibly().onExit().join();
    }

    /** Cuts the links between an agent and all control processes, or joins them again. */
    void setCut(int host, boolean cut) {
        links.get(host).forEach(each -> each.setHolding(cut));
    }

    /** Sends a job to the entry; returns the status and body of the response. */
    String callEntry(String method, String path, String body) {
        return call(method, CONTROL_COUNT, PORT + 1, path, body);
    }

    /** Sends a status report to an agent. */
    void announce(int host, String workerId, String fields) {
        String report =
                "{\"service\":\"s\",\"address\":\""
                        + ip(agentMachine(host))
                        + ":1\",\"zone\":\"z\",\"state\":\"ready\","
                        + "\"capacity\":{\"cpu\":8000,\"mem_mb\":8000},\"labels\":[\"a\",\"r1\"],"
                        + fields
                        + "}";
        String path = "/api/minions/" + workerId + "/heartbeat";
        call("POST", agentMachine(host), PORT, path, report);
    }

    private String call(String method, int machine, int port, String path, String body) {
        HttpRequest request =
                HttpRequest.newBuilder(URI.create("http://" + ip(machine) + ":" + port + path))
                        .timeout(Duration.ofSeconds(1))
                        .method(method, HttpRequest.BodyPublishers.ofString(body))
                        .build();
        try {
            HttpResponse<String> response =
                    http.send(request, HttpResponse.BodyHandlers.ofString());
            return response.statusCode() + " " + response.body();
        } catch (IOException exception) {
            return "no response";
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
            return "no response";
        }
    }

    private void killAll() {
        processes.values().forEach(Process::destroyForcibly);
    }

    @Override
    public void close() throws IOException {
        killAll();
        processes.values().forEach(process -> process.onExit().join());
        for (List<Forwarder> forwarders : links) {
            for (Forwarder each : forwarders) {
                each.close();
            }
        }
    }
}
