package org.yuccabank.platform;

import static org.testng.Assert.assertEquals;

import java.io.IOException;
import java.net.BindException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.AfterClass;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeClass;

/**
 * The path from client to minion through the platform's HTTP calls, with a stand-in minion, for the
 * tests of one class. Confined to the thread of the tests, except for the announcements.
 */
abstract class PlatformPath {

    private static final int TIMEOUT_SECONDS = 20;
    static final String MANIFEST =
            "{\"version\":3,\"routes\":[{\"name\":\"q\",\"host\":\"127.0.0.1\","
                    + "\"path_prefix\":\"/jobs/\",\"timeout_ms\":3000,\"service\":\"s\","
                    + "\"max_attempts\":2,\"slack_factor\":1.5}],"
                    + "\"services\":[{\"name\":\"s\"}]}";

    private final HttpClient http = HttpClient.newHttpClient();
    final int[] ports = new int[6];
    private Path directory;
    PlatformRole control;
    PlatformRole entry;
    PlatformRole agent;
    StandInMinion minion;
    private final ScheduledExecutorService heartbeats = Executors.newScheduledThreadPool(1);
    volatile String announcement = "";
    private int sequence;
    private final List<String> submitted = new ArrayList<>();
    PlatformSettings workerSettings;

    @BeforeClass
    public void startRoles() throws Exception {
        for (int index = 0; index < ports.length; index++) {
            ports[index] = freePort();
        }
        ports[0] = firstOfTwoFreePorts();
        directory = Files.createTempDirectory("platform");
        minion = new StandInMinion(new InetSocketAddress("127.0.0.1", ports[5]), 1_000);
        startControl();
        entry = EntryRole.start(settings(directory, ports[3]));
        workerSettings = settings(directory, ports[4]);
        agent = AgentRole.start(workerSettings);
        await(() -> call("POST", ports[3], "/api/config/replace", MANIFEST).statusCode(), 200);
        var unused =
                heartbeats.scheduleAtFixedRate(this::repeatAnnouncement, 1, 1, TimeUnit.SECONDS);
    }

    final void startControl() throws IOException {
        control = ControlRole.start(settings(directory, ports[3])).get();
    }

    private static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0)) {
            return socket.getLocalPort();
        }
    }

    /** Returns a free port before another one, which the metrics of the control process take. */
    private static int firstOfTwoFreePorts() throws IOException {
        while (true) {
            try (ServerSocket first = new ServerSocket(0);
                    ServerSocket second = new ServerSocket(first.getLocalPort() + 1)) {
                return second.getLocalPort() - 1;
            } catch (BindException exception) {
                // The next port is taken; try another pair.
            }
        }
    }

    private PlatformSettings settings(Path directory, int ownPort) throws IOException {
        String text =
                String.join(
                        "\n",
                        "node_name: \"host-" + ownPort + "\"",
                        "ip: \"127.0.0.1\"",
                        "zone: \"z\"",
                        "bootstrap: true",
                        "unknown_field: 7",
                        "data_dir: \"" + directory + "/data\"",
                        "internal_ports: [" + ports[0] + ", " + (ports[0] + 2) + "]",
                        "seeds: [\"127.0.0.1:" + ports[3] + "\"]",
                        "bind_addrs:",
                        "  frontend: \"127.0.0.1:" + ports[1] + "\"",
                        "  ready: \"127.0.0.1:" + ports[2] + "\"",
                        "  control_plane: \"127.0.0.1:" + ownPort + "\"",
                        "app: \"127.0.0.1:" + ports[5] + "\"",
                        "bounds: {hold_max_ms: 6000, contact_ms: 3000}");
        Path file = Files.writeString(directory.resolve(ownPort + ".yaml"), text);
        return PlatformSettings.read(file).get();
    }

    @AfterClass(alwaysRun = true)
    public final void stopRoles() {
        heartbeats.shutdownNow();
        agent.stop();
        entry.stop();
        control.stop();
        minion.stop();
    }

    /** Restores the stand-in and cancels the jobs of a test that failed half-way. */
    @AfterMethod(alwaysRun = true)
    public void cleanUp() throws Exception {
        minion.setDropsStarts(false);
        minion.enableCompletion();
        for (String workflowId : submitted) {
            call("DELETE", ports[1], "/jobs/" + workflowId, "");
        }
        submitted.clear();
    }

    /** A value that is polled until it is as expected. */
    interface StatusSupplier {
        int get() throws IOException, InterruptedException;
    }

    static void await(StatusSupplier supplier, int expected) throws Exception {
        long end = System.nanoTime() + Duration.ofSeconds(TIMEOUT_SECONDS).toNanos();
        int status = supplier.get();
        while (status != expected && System.nanoTime() < end) {
            Thread.sleep(100);
            status = supplier.get();
        }
        assertEquals(status, expected);
    }

    final HttpResponse<String> call(String method, int port, String path, String body)
            throws IOException, InterruptedException {
        HttpRequest request =
                HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + path))
                        .timeout(Duration.ofSeconds(5))
                        .method(method, HttpRequest.BodyPublishers.ofString(body))
                        .build();
        return http.send(request, HttpResponse.BodyHandlers.ofString());
    }

    final void sendHeartbeat() throws Exception {
        sendHeartbeat(1_000);
    }

    final void sendHeartbeat(long born) throws Exception {
        sendHeartbeat(born, 8_000);
    }

    final void sendHeartbeat(long born, int processorMillis) throws Exception {
        setAnnouncement(born, processorMillis);
        assertEquals(sendAnnouncement(), 200);
    }

    /** Sets the content of the next status reports, which a minion sends about once a second. */
    final synchronized void setAnnouncement(long born, int processorMillis) {
        announcement =
                "{\"service\":\"s\",\"address\":\"127.0.0.1:1\",\"zone\":\"z\",\"state\":\"ready\","
                        + "\"capacity\":{\"cpu\":"
                        + processorMillis
                        + ",\"mem_mb\":8000},\"labels\":[\"a\",\"r1\"],\"born\":"
                        + born;
    }

    private synchronized int sendAnnouncement() throws Exception {
        String changing = ",\"clock_ms\":" + StandInMinion.clock() + ",\"sequence\":" + ++sequence;
        String path = "/api/minions/m-1/heartbeat";
        return call("POST", ports[4], path, announcement + changing + "}").statusCode();
    }

    final void repeatAnnouncement() {
        try {
            if (!announcement.isEmpty()) {
                sendAnnouncement();
            }
        } catch (Exception exception) {
            // No agent is running at the moment; the next report follows.
        }
    }

    final void awaitState(String workflowId, String state) throws Exception {
        await(
                () -> {
                    String body = call("GET", ports[1], "/jobs/" + workflowId, "").body();
                    return body.contains("\"" + state + "\"") ? 1 : 0;
                },
                1);
    }

    final void submit(String workflowId, int processorMillis) throws Exception {
        submitted.add(workflowId);
        String job =
                "{\"steps\":[{\"count\":1,\"mem_mb\":10,\"estimate_ms\":5000,\"cpu\":"
                        + processorMillis
                        + "}]}";
        assertEquals(call("POST", ports[1], "/jobs/" + workflowId, job).statusCode(), 200);
    }

    /** Runs tasks one after another, so that the worker has listed a number of ends. */
    final void acknowledgeEnds(String prefix, int count) throws Exception {
        for (int number = 0; number < count; number++) {
            String workflowId = prefix + String.format("%08x", number);
            submit(workflowId, 500);
            awaitState(workflowId, "completed");
        }
        await(() -> minion.latestAcknowledgement() != null ? 1 : 0, 1);
        await(() -> minion.hasEnds() ? 1 : 0, 0);
    }

    final long startCount(String workflowId) {
        return minion.starts().stream().filter(each -> each.startsWith(workflowId)).count();
    }
}
