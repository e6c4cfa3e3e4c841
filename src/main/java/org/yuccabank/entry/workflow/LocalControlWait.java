package org.yuccabank.entry.workflow;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.time.Duration;
import java.util.concurrent.TimeUnit;

/**
 * Delays the start of an entry process until the control process on the same host accepts
 * connections. After a power failure of a whole site, an entry process cannot serve requests before
 * a leader is elected, and its own startup would take half of the processor away from the control
 * process that the election depends on. Stateless.
 */
public final class LocalControlWait {

    /** Delay between connection attempts; each attempt costs one refused local connection. */
    private static final long POLL_INTERVAL_MILLIS = 20;

    private static final int CONNECT_TIMEOUT_MILLIS = 100;

    private LocalControlWait() {}

    /**
     * Waits until the control process accepts connections.
     *
     * @param controlAddress address of the control process on this host
     * @param timeout maximum time to wait, so that hosts without a control process start as well
     * @return true once the control process accepts connections, false after the timeout
     * @throws InterruptedException if the thread is interrupted while waiting
     */
    public static boolean await(InetSocketAddress controlAddress, Duration timeout)
            throws InterruptedException {
        long deadlineNanos = System.nanoTime() + timeout.toNanos();
        while (!isListening(controlAddress)) {
            if (System.nanoTime() > deadlineNanos) {
                return false;
            }
            TimeUnit.MILLISECONDS.sleep(POLL_INTERVAL_MILLIS);
        }
        return true;
    }

    private static boolean isListening(InetSocketAddress controlAddress) {
        try (Socket socket = new Socket()) {
            socket.connect(controlAddress, CONNECT_TIMEOUT_MILLIS);
            return true;
        } catch (IOException notListening) {
            // The control process does not listen yet; the caller retries until the timeout.
            return false;
        }
    }
}
