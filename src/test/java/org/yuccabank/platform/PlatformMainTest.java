package org.yuccabank.platform;

import static org.testng.Assert.assertTrue;

import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests the processes of the platform as they are started. */
public final class PlatformMainTest {

    private static final long TIMEOUT_SECONDS = 30;

    /** The roles of processes. */
    @DataProvider
    public Object[][] roles() {
        return new Object[][] {{"control"}, {"entry"}, {"agent"}};
    }

    private static int freePort() throws Exception {
        try (ServerSocket socket = new ServerSocket(0)) {
            return socket.getLocalPort();
        }
    }

    private static String settings(Path directory) throws Exception {
        int port = freePort();
        return String.join(
                "\n",
                "node_name: \"host\"",
                "ip: \"127.0.0.1\"",
                "zone: \"z\"",
                "bind_addrs:",
                "  frontend: \"127.0.0.1:" + freePort() + "\"",
                "  ready: \"127.0.0.1:" + freePort() + "\"",
                "  control_plane: \"127.0.0.1:" + freePort() + "\"",
                "app: \"127.0.0.1:" + freePort() + "\"",
                "internal_ports: [" + port + ", " + (port + 3) + "]",
                "seeds: [\"127.0.0.1:1\"]",
                "bootstrap: true",
                "data_dir: \"" + directory + "\"",
                "bounds:",
                "  hold_max_ms: 6000",
                "");
    }

    /**
     * Guards against a process that ends as it starts, for example because a library logs before
     * the log is configured.
     */
    @Test(dataProvider = "roles")
    public void shouldStart(String role) throws Exception {
        Path directory = Files.createTempDirectory("process");
        Path file = Files.writeString(directory.resolve("settings"), settings(directory));
        Path output = directory.resolve("output");
        ProcessBuilder builder =
                new ProcessBuilder(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-cp",
                        System.getProperty("java.class.path"),
                        PlatformMain.class.getName(),
                        role);
        builder.environment().put("YUCCABANK_CONFIG", file.toString());
        Process process = builder.redirectErrorStream(true).redirectOutput(output.toFile()).start();
        try {
            long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_SECONDS);
            while (!read(output).contains("ROLE_STARTED")
                    && process.isAlive()
                    && System.nanoTime() < end) {
                Thread.sleep(50);
            }
            assertTrue(read(output).contains("ROLE_STARTED"), read(output));
        } finally {
            process.destroyForcibly();
        }
    }

    private static String read(Path file) throws Exception {
        return Files.exists(file) ? Files.readString(file, StandardCharsets.UTF_8) : "";
    }
}
