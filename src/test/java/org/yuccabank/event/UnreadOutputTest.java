package org.yuccabank.event;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.Test;

/** Tests the log of a process whose standard output nobody reads. */
public final class UnreadOutputTest {

    private static final int LINES = 100_000;

    /** Logs many lines of a kept request and prints the lines that were not written. */
    public static void main(String... arguments) {
        EventLog.useJson("test");
        for (int line = 0; line < LINES; line++) {
            EventLog.information(RequestLines.KEPT, Event.RUN_ENDED, "run", "w.0.0." + line + "#1");
        }
        System.err.println(EventLog.suppressedLines());
    }

    /**
     * Guards against a full pipe that blocks the process, keeps all lines in memory or delays its
     * end.
     */
    @Test
    public void shouldNeitherBlockNorKeepLinesWhileOutputIsNotRead()
            throws IOException, InterruptedException {
        Process process =
                new ProcessBuilder(
                                List.of(
                                        System.getProperty("java.home") + "/bin/java",
                                        "-Xmx64m",
                                        "-cp",
                                        System.getProperty("java.class.path"),
                                        UnreadOutputTest.class.getName()))
                        .start();
        try {
            assertTrue(process.waitFor(60, TimeUnit.SECONDS), "still running");
            assertEquals(process.exitValue(), 0);
            String errors =
                    new String(process.getErrorStream().readAllBytes(), StandardCharsets.UTF_8);
            assertTrue(Long.parseLong(errors.trim()) > LINES / 2, errors);
        } finally {
            process.destroyForcibly();
        }
    }
}
