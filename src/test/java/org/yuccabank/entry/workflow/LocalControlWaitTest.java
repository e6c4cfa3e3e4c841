package org.yuccabank.entry.workflow;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.time.Duration;
import org.testng.annotations.Test;

/** Tests that an entry process waits for the control process on its host to start. */
public final class LocalControlWaitTest {

    private static final Duration SHORT_TIMEOUT = Duration.ofMillis(100);
    private static final Duration LONG_TIMEOUT = Duration.ofSeconds(30);

    /** Guards against an entry process that never starts on a host without a control process. */
    @Test
    public void shouldReturnFalseAfterTimeoutWithoutControl() throws Exception {
        InetSocketAddress address;
        try (ServerSocket closed = server()) {
            address = address(closed);
        }
        assertFalse(LocalControlWait.await(address, SHORT_TIMEOUT));
    }

    /** Guards against an entry process that keeps waiting after the control process has started. */
    @Test
    public void shouldReturnTrueOnceControlListens() throws Exception {
        try (ServerSocket control = server()) {
            long start = System.nanoTime();
            assertTrue(LocalControlWait.await(address(control), LONG_TIMEOUT));
            assertTrue(System.nanoTime() - start < LONG_TIMEOUT.toNanos());
        }
    }

    private static ServerSocket server() throws IOException {
        return new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
    }

    private static InetSocketAddress address(ServerSocket server) {
        return (InetSocketAddress) server.getLocalSocketAddress();
    }
}
