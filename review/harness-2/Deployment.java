import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * A small deployment on loopback addresses: three machines with control and entry, and machines
 * with an agent and a stand-in minion. The programs run with the commands of the deploy file, as
 * separate processes. Also the operator and the clients. Thread-safe.
 */
final class Deployment implements AutoCloseable {

    static final long HOLD_MAX_MILLIS = 6_000;
    static final long GANG_TIMEOUT_MILLIS = 3_000;
    static final long CONTACT_MILLIS = 3_000;
    static final long DRAIN_MILLIS = 2_000;
    static final String SERVICE = "orders";
    static final String OTHER_SERVICE = "stock";
    static final String HOST = "shop.example";

    /** Machines with control and entry of a deployment that bears the loss of one disk. */
    static final int EDGES = 3;

    private static final ObjectMapper MAPPER = new ObjectMapper();

    /** A start or an end on a minion. */
    record Happening(long atMillis, String machine, String task, int attempt, String what) {}

    /** An answer to a client or to the operator; status 0 stands for none. */
    record Answer(int status, JsonNode body) {}

    private final int edges;
    private final long startNanos = System.nanoTime();
    private final PrintWriter record;
    private final Path temporary;
    private final Map<String, Process> processes = new LinkedHashMap<>();
    private final Map<String, List<String>> commands;
    private final List<Minion> minions = new CopyOnWriteArrayList<>();
    private final List<Happening> happenings = new CopyOnWriteArrayList<>();
    private final Map<String, Map<Integer, Minion.Plan>> plans = new ConcurrentHashMap<>();
    private final GangBoard gangs = new GangBoard();
    private final HttpClient http =
            HttpClient.newBuilder().connectTimeout(Duration.ofMillis(1_000)).build();
    private final String network;
    private final int frontendPort;
    private final int readyPort;
    private final int controlPort;
    private final int appPort;
    private final int internalPort;
    private final Random random = new Random();
    private volatile boolean bootstrap = true;
    private final AtomicBoolean closed = new AtomicBoolean();
    private int nextEntry;

    Deployment(Path folder, int edges) throws IOException {
        this.edges = edges;
        record = new PrintWriter(Files.newBufferedWriter(folder.resolve("record.txt")));
        temporary = Files.createTempDirectory("yuccabank-review");
        commands = commands();
        network = "127." + (40 + random.nextInt(150)) + "." + (1 + random.nextInt(250)) + ".";
        int base = freePorts();
        frontendPort = base;
        readyPort = base + 1;
        controlPort = base + 2;
        appPort = base + 3;
        internalPort = base + 4;
        Runtime.getRuntime().addShutdownHook(new Thread(this::close));
    }

    /** Returns the first of 20 ports that are free on the addresses of all machines. */
    private int freePorts() throws IOException {
        for (int round = 0; round < 200; round++) {
            int base = 20_000 + random.nextInt(12_000);
            if (areFree(base)) {
                return base;
            }
        }
        throw new IOException("no free ports");
    }

    private boolean areFree(int base) {
        for (int host = 1; host <= 30; host++) {
            for (int port = base; port < base + 20; port++) {
                try (ServerSocket socket =
                        new ServerSocket(port, 1, InetAddress.getByName(network + host))) {
                    continue;
                } catch (IOException taken) {
                    return false;
                }
            }
        }
        return true;
    }

    private static Map<String, List<String>> commands() throws IOException {
        Map<String, List<String>> found = new HashMap<>();
        String role = "";
        for (String line : Files.readAllLines(Path.of("deploy", "system.toml"))) {
            Matcher header = Pattern.compile("\\[roles\\.(\\w+)]").matcher(line.trim());
            Matcher run = Pattern.compile("run = \"(.*)\"").matcher(line.trim());
            if (header.matches()) {
                role = header.group(1);
            } else if (run.matches()) {
                found.put(role, List.of(run.group(1).split(" ")));
            }
        }
        return found;
    }

    long millis() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
    }

    void record(String line) {
        synchronized (record) {
            record.println(String.format("%8.3f  %s", millis() / 1000.0, line));
            record.flush();
        }
    }

    GangBoard gangs() {
        return gangs;
    }

    List<Happening> happenings() {
        return happenings;
    }

    void started(Minion minion, String task, int attempt) {
        happenings.add(new Happening(millis(), minion.machine, task, attempt, "start"));
        record("run " + task + " attempt " + attempt + " starts on " + minion.machine);
    }

    void ended(Minion minion, String task, int attempt, String how) {
        happenings.add(new Happening(millis(), minion.machine, task, attempt, how));
        record("run " + task + " attempt " + attempt + " ends " + how + " on " + minion.machine);
    }

    Minion.Plan plan(String task) {
        String[] parts = task.split("\\.");
        return plans.get(parts[0]).get(Integer.parseInt(parts[2]));
    }

    // Processes

    /** Starts control and entry on the machines with a disk. */
    void startEdges() throws IOException {
        for (int edge = 1; edge <= edges; edge++) {
            String name = "edge-zone-" + edge + "-1";
            startProcess("control", name, network + edge, true, "");
            startProcess("entry", name, network + edge, true, "");
        }
    }

    /** Starts a machine without a disk that takes requests from clients only; returns its number. */
    int addEntryMachine() throws IOException {
        int number = keys("entry-").size() + 1;
        startProcess("entry", entryName(number), network + number, false, "");
        return number;
    }

    private static String entryName(int number) {
        return "edge-zone-" + number + "-1";
    }

    /** Freezes or thaws the machine of {@link #addEntryMachine}, which runs one process. */
    void freezeEntryMachine(int number, boolean frozen) throws IOException, InterruptedException {
        long id;
        synchronized (processes) {
            id = processes.get("entry-" + entryName(number)).pid();
        }
        new ProcessBuilder("kill", frozen ? "-STOP" : "-CONT", String.valueOf(id)).start().waitFor();
        record("machine " + entryName(number) + (frozen ? " freezes" : " wakes"));
    }

    /** Starts the agent of a new machine and returns its minion, which is not started. */
    Minion addMachine(String service, int processorMillis, List<String> labels) throws IOException {
        int number = minions.size() + 1;
        String name = "side-zone-" + number;
        String ip = network + (10 + number);
        startProcess("agent", name, ip, false, service);
        Minion minion =
                new Minion(
                        this,
                        name,
                        service,
                        new InetSocketAddress(ip, appPort),
                        new InetSocketAddress(ip, controlPort),
                        processorMillis,
                        64_000,
                        labels);
        minions.add(minion);
        return minion;
    }

    private void startProcess(
            String role, String name, String ip, boolean edge, String service) throws IOException {
        Path settings = temporary.resolve(role + "-" + name + ".yaml");
        Files.writeString(settings, settings(role, name, ip, edge, service));
        ProcessBuilder builder = new ProcessBuilder(commands.get(role));
        Map<String, String> environment = builder.environment();
        environment.keySet().retainAll(Set.of("PATH", "HOME", "JAVA_HOME", "LANG"));
        environment.put("YUCCABANK_CONFIG", settings.toString());
        builder.redirectErrorStream(true)
                .redirectOutput(temporary.resolve(role + "-" + name + ".log").toFile());
        synchronized (processes) {
            processes.put(role + "-" + name, builder.start());
        }
        record("process " + role + " starts on " + name);
    }

    /**
     * Returns the settings of a process.
     *
     * @param disk whether the machine is an edge with a disk, which serves control too
     */
    private String settings(
            String role, String name, String ip, boolean disk, String service) throws IOException {
        boolean edge = !role.equals("agent");
        ObjectNode root = MAPPER.createObjectNode();
        root.put("node_name", name).put("role", role);
        root.put("machine_class", edge ? "edge" : "side");
        ArrayNode serves = root.putArray("serves");
        (edge ? disk ? List.of("edge", "control") : List.of("edge") : List.of("side"))
                .forEach(serves::add);
        root.put("ip", ip).put("zone", "zone-1").put("region", "region-1");
        root.putObject("zones").put("zone-1", "region-1");
        ObjectNode bind = root.putObject("bind_addrs");
        if (edge) {
            bind.put("frontend", ip + ":" + frontendPort).put("ready", ip + ":" + readyPort);
        }
        if (disk || !edge) {
            bind.put("control_plane", ip + ":" + controlPort);
        }
        root.putArray("internal_ports").add(internalPort).add(internalPort + 15);
        ArrayNode seeds = root.putArray("seeds");
        // Each machine may be told of the seeds in another order.
        int first = disk ? 0 : Integer.parseInt(ip.substring(ip.lastIndexOf('.') + 1));
        for (int seed = 0; seed < EDGES; seed++) {
            seeds.add(network + ((first + seed) % EDGES + 1) + ":" + controlPort);
        }
        root.put("bootstrap", bootstrap).put("in_fault_domain", disk);
        root.putObject("limits")
                .put("cpu_share", 0.75)
                .put("cores", 2)
                .put("memory_mb", edge ? 430 : 298)
                .put("max_fds", 4_096)
                .put("link_mbps", 1_000.0)
                .put("disk_mb", disk ? 128 : 0);
        if (disk) {
            Path data = Files.createDirectories(temporary.resolve("data-" + role + "-" + name));
            root.put("data_dir", data.toString());
        }
        root.put("discovery", "local").put("entry", "vip").put("heartbeat_ms", 1_500);
        ArrayNode contracts = root.putArray("contracts");
        List.of("base", "drain", "config", "cost", "recover", "sched", "sharing")
                .forEach(contracts::add);
        root.putObject("fault_tolerance").put("machines", (edges - 1) / 2).put("zones", 0).put("regions", 0);
        root.putObject("bounds")
                .put("seed_lag_s", 3)
                .put("addr_reuse_s", 2)
                .put("contact_ms", CONTACT_MILLIS)
                .put("ack_ms", 4_000)
                .put("catch_up_s", 4)
                .put("drain_ms", DRAIN_MILLIS)
                .put("grace_s", 6)
                .put("loss_slack_ms", 200)
                .put("config_apply_ms", 2_000)
                .put("rollback_slack_ms", 250)
                .put("max_skew_ms", 5_000)
                .put("recovery_s", 12)
                .put("hold_max_ms", HOLD_MAX_MILLIS)
                .put("stop_ms", 200)
                .put("gang_timeout_ms", GANG_TIMEOUT_MILLIS)
                .put("cancel_ms", 3_000)
                .put("visible_ms", 3_000)
                .put("early_ms", 250)
                .put("finish_s", 14)
                .put("status_s", 120)
                .put("checkpoint_s", 1)
                .put("restore_ms", 600)
                .put("notice_ms", 4_500)
                .put("lease_ms", 3_000)
                .put("rate_window_ms", 100)
                .put("interference_ms", 4_000);
        root.put("config_mode", "highest").put("commands", "invocation");
        if (!edge) {
            root.put("app", ip + ":" + appPort).put("service", service);
        }
        // JSON is YAML.
        return MAPPER.writerWithDefaultPrettyPrinter().writeValueAsString(root);
    }

    /** Sends a signal to all processes of an edge machine. */
    void signalEdge(int edge, String signal) throws IOException, InterruptedException {
        for (String role : List.of("control", "entry")) {
            long id;
            synchronized (processes) {
                id = processes.get(role + "-" + entryName(edge)).pid();
            }
            new ProcessBuilder("kill", "-" + signal, String.valueOf(id)).start().waitFor();
        }
        record("machine " + entryName(edge) + ": " + signal);
    }

    /** Kills the processes of an edge machine, and deletes its data folders if its disk is lost. */
    void stopEdge(int edge, boolean loseDisk) throws IOException, InterruptedException {
        for (String role : List.of("control", "entry")) {
            Process process;
            synchronized (processes) {
                process = processes.remove(role + "-" + entryName(edge));
            }
            process.destroyForcibly().waitFor();
            if (loseDisk) {
                Path data = temporary.resolve("data-" + role + "-" + entryName(edge));
                try (Stream<Path> files = Files.walk(data)) {
                    files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
                }
            }
        }
        record("machine " + entryName(edge) + " stops" + (loseDisk ? ", its disk is lost" : ""));
    }

    /** Starts an edge machine, at first or again; not as part of the first start of the system. */
    void startEdge(int edge) throws IOException {
        bootstrap = false;
        startProcess("control", entryName(edge), network + edge, true, "");
        startProcess("entry", entryName(edge), network + edge, true, "");
    }

    /** Returns the version of the manifest that a node gives, 0 without a 200. */
    long manifestVersion(int node) {
        Answer answer = call("GET", network + node, controlPort, "/api/config/read", null);
        return answer.status() == 200 ? answer.body().path("version").asLong() : 0;
    }

    private List<String> keys(String prefix) {
        synchronized (processes) {
            return processes.keySet().stream().filter(key -> key.startsWith(prefix)).toList();
        }
    }

    /** Returns whether all processes run. */
    boolean allAlive() {
        synchronized (processes) {
            return processes.values().stream().allMatch(Process::isAlive);
        }
    }

    // The operator

    /**
     * Sends a manifest until it is confirmed: the queues `now` (priority 0) and `later` (priority
     * 2) of one service, and the queue `stock` of the other.
     */
    boolean sendManifest(int version, int attempts, long timeoutMillis)
            throws InterruptedException, IOException {
        ObjectNode manifest = MAPPER.createObjectNode();
        manifest.put("version", version);
        ArrayNode routes = manifest.putArray("routes");
        addRoute(routes, "now", SERVICE, 0, attempts);
        addRoute(routes, "later", SERVICE, 2, attempts);
        addRoute(routes, "stock", OTHER_SERVICE, 0, attempts);
        ArrayNode services = manifest.putArray("services");
        for (String service : List.of(SERVICE, OTHER_SERVICE)) {
            services.addObject()
                    .put("name", service)
                    .put("health_path", "/healthz")
                    .put("max_conns", 64)
                    .put("protocol", "h1")
                    .put("tls", false)
                    .put("admission_control", false)
                    .put("standby", false);
        }
        manifest.putObject("limits")
                .put("max_header_bytes", 16_384)
                .put("max_body_bytes", 262_144)
                .put("header_timeout_ms", 3_000)
                .put("idle_timeout_ms", 15_000);
        long deadline = millis() + timeoutMillis;
        for (int node = 1; millis() < deadline; node = node % edges + 1) {
            Answer answer =
                    call("POST", network + node, controlPort, "/api/config/replace", manifest);
            if (answer.status() == 200) {
                record("manifest " + version + " is confirmed");
                return true;
            }
            Thread.sleep(200);
        }
        return false;
    }

    private static void addRoute(
            ArrayNode routes, String name, String service, int priority, int attempts) {
        routes.addObject()
                .put("name", "r-" + name)
                .put("host", HOST)
                .put("path_prefix", "/" + name + "/")
                .put("kind", "non_idempotent")
                .put("timeout_ms", 3_000)
                .put("completion_target_ms", 1_000)
                .put("priority", priority)
                .put("service", service)
                .put("max_attempts", attempts)
                .put("slack_factor", 2.0);
    }

    /** Waits until the nearest balancer would send clients to some node. */
    boolean awaitReady(long timeoutMillis) throws InterruptedException {
        long deadline = millis() + timeoutMillis;
        while (millis() < deadline) {
            int ready = 0;
            for (int node = 1; node <= edges; node++) {
                Answer answer = call("GET", network + node, readyPort, "/api/readyz", null);
                ready += answer.status() == 200 ? 1 : 0;
            }
            if (ready == edges) {
                return true;
            }
            Thread.sleep(200);
        }
        return false;
    }

    // Clients

    /** A step of a job, with what the stand-in minions do with its tasks. */
    record Step(ObjectNode definition, Minion.Plan plan) {}

    static Step step(int count, int processorMillis, long durationMillis) {
        ObjectNode node = MAPPER.createObjectNode();
        node.put("count", count)
                .put("cpu", processorMillis)
                .put("mem_mb", 64)
                .put("estimate_ms", durationMillis);
        return new Step(node, new Minion.Plan(durationMillis, false, 1, processorMillis));
    }

    static Step lasting(int count, int processorMillis) {
        Step step = step(count, processorMillis, 1_000);
        step.definition().put("long_running", true);
        return new Step(step.definition(), new Minion.Plan(0, true, 1, 0));
    }

    static Step gang(int count, int processorMillis, long durationMillis) {
        Step step = step(count, processorMillis, durationMillis);
        step.definition().put("gang", true);
        return new Step(step.definition(), new Minion.Plan(durationMillis, false, count, processorMillis));
    }

    /** Returns a step that fills: it disturbs others, and its processors count as unused ones. */
    static Step filling(int count, int processorMillis, long durationMillis, String image) {
        Step step = step(count, processorMillis, durationMillis);
        step.definition().put("image", image).put("utilization", true);
        return step;
    }

    /** Returns a step that serves, whose tail latency is steady. */
    static Step serving(
            int count, int processorMillis, String image, int targetMillis, int tailMillis) {
        Step step = lasting(count, processorMillis);
        step.definition().put("image", image).put("target_ms", targetMillis);
        return new Step(step.definition(), new Minion.Plan(0, true, 1, tailMillis));
    }

    static Step withLabel(Step step, String label) {
        step.definition().put("constraints", label);
        return step;
    }

    String newId() {
        return String.format("%016x", random.nextLong());
    }

    /** Sends a job once to one node, and returns the status, 0 without a response in time. */
    int submitOnce(int node, String queue, String id, List<Step> steps) {
        Answer answer =
                call("POST", network + node, frontendPort, "/" + queue + "/" + id, job(id, steps));
        record("client submits " + id + " to " + queue + " at node " + node + ": " + answer.status());
        return answer.status();
    }

    private ObjectNode job(String id, List<Step> steps) {
        ObjectNode job = MAPPER.createObjectNode();
        job.put("spec", "review");
        ArrayNode nodes = job.putArray("steps");
        Map<Integer, Minion.Plan> stepPlans = new HashMap<>();
        for (int index = 0; index < steps.size(); index++) {
            nodes.add(steps.get(index).definition());
            stepPlans.put(index, steps.get(index).plan());
        }
        plans.put(id, stepPlans);
        return job;
    }

    /** Submits a job until it is accepted; the same request goes to the next node after a refusal. */
    boolean submit(String queue, String id, List<Step> steps, long timeoutMillis)
            throws InterruptedException {
        ObjectNode job = job(id, steps);
        long deadline = millis() + timeoutMillis;
        while (millis() < deadline) {
            Answer answer = client("POST", queue, id, job);
            record("client submits " + id + " to " + queue + ": " + answer.status());
            if (answer.status() == 200) {
                return true;
            }
            Thread.sleep(300);
        }
        return false;
    }

    /** Returns the number of jobs of a queue that a node gives as pending, empty without a 200. */
    java.util.OptionalInt pending(int node, String queue) {
        Answer answer = call("GET", network + node, frontendPort, "/" + queue + "/", null);
        return answer.status() == 200 && answer.body().path("pending").isInt()
                ? java.util.OptionalInt.of(answer.body().path("pending").asInt())
                : java.util.OptionalInt.empty();
    }

    /** Returns the state of a job as a client sees it, with the status if it is none. */
    String state(String queue, String id) {
        Answer answer = client("GET", queue, id, null);
        return answer.status() == 200
                ? answer.body().path("state").asText()
                : "status " + answer.status();
    }

    /** Cancels a job and returns the status. */
    int cancel(String queue, String id) {
        Answer answer = client("DELETE", queue, id, null);
        record("client cancels " + id + ": " + answer.status());
        return answer.status();
    }

    private Answer client(String method, String queue, String id, JsonNode body) {
        int node;
        synchronized (this) {
            node = nextEntry++ % edges + 1;
        }
        return call(method, network + node, frontendPort, "/" + queue + "/" + id, body);
    }

    private Answer call(String method, String ip, int port, String path, JsonNode body) {
        try {
            HttpRequest.Builder request =
                    HttpRequest.newBuilder(URI.create("http://" + ip + ":" + port + path))
                            .timeout(Duration.ofMillis(3_000))
                            .header("Host", HOST)
                            .header("X-Yuccabank-Deadline-Ms", "3000")
                            .header("Content-Type", "application/json");
            request.method(
                    method,
                    body == null
                            ? HttpRequest.BodyPublishers.noBody()
                            : HttpRequest.BodyPublishers.ofByteArray(
                                    MAPPER.writeValueAsBytes(body)));
            HttpResponse<byte[]> response =
                    http.send(request.build(), HttpResponse.BodyHandlers.ofByteArray());
            byte[] bytes = response.body();
            String text = new String(bytes, StandardCharsets.UTF_8).trim();
            JsonNode parsed =
                    text.startsWith("{") ? MAPPER.readTree(bytes) : MAPPER.createObjectNode();
            return new Answer(response.statusCode(), parsed);
        } catch (IOException exception) {
            return new Answer(0, MAPPER.createObjectNode());
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
            return new Answer(0, MAPPER.createObjectNode());
        }
    }

    /** Ends all processes that this deployment started. */
    @Override
    public void close() {
        if (!closed.compareAndSet(false, true)) {
            return;
        }
        List<Process> started;
        synchronized (processes) {
            started = List.copyOf(processes.values());
        }
        started.forEach(Process::destroyForcibly);
        for (Process process : started) {
            try {
                process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException exception) {
                Thread.currentThread().interrupt();
            }
        }
        minions.forEach(Minion::close);
        if (System.getenv("KEEP_LOGS") == null) {
            try (Stream<Path> files = Files.walk(temporary)) {
                files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
            } catch (IOException ignored) {
                // Ignored because the temporary folder may have been deleted before.
            }
        }
    }

    Path logs() {
        return temporary;
    }

    /** A machine to start: the service and the labels of its minion. */
    record Machine(String service, List<String> labels) {}

    /** Starts the edges and the given minions, and confirms the first manifest. */
    static Deployment started(
            Path folder, int attempts, int processorMillis, List<Machine> machines)
            throws IOException, InterruptedException {
        return started(folder, EDGES, attempts, processorMillis, machines);
    }

    /** Does the same with a number of machines with a disk. */
    static Deployment started(
            Path folder, int edges, int attempts, int processorMillis, List<Machine> machines)
            throws IOException, InterruptedException {
        Deployment deployment = new Deployment(folder, edges);
        deployment.startEdges();
        List<Minion> added = new ArrayList<>();
        for (Machine each : machines) {
            added.add(deployment.addMachine(each.service(), processorMillis, each.labels()));
        }
        if (!deployment.sendManifest(1, attempts, 20_000) || !deployment.awaitReady(15_000)) {
            deployment.record("the deployment did not start");
            deployment.close();
            throw new IOException("the deployment did not start, logs in " + deployment.logs());
        }
        for (Minion minion : added) {
            minion.start();
        }
        Thread.sleep(4_000);
        return deployment;
    }

    List<Minion> minions() {
        return minions;
    }
}
