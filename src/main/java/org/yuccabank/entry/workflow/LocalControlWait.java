package org.yuccabank.entry.workflow;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.time.Duration;
import java.util.concurrent.TimeUnit;

/**
 * Lets the control process of the same host start first. Answers the loss of power of a whole site:
 * an entry process serves nobody before a leader is elected, and its own start would take half of
 * the processor from the control process that the election waits for. Has no state.
 */
public final class LocalControlWait {

    /** Time between two looks; a look costs one refused connection on the same host. */
    private static final long POLL_INTERVAL_MILLIS = 20;

    private static final int CONNECT_TIMEOUT_MILLIS = 100;

    private LocalControlWait() {}

    /**
     * Waits until the control process accepts connections.
     *
     * @param control its address on this host
     * @param timeout longest time to wait, for hosts without a control process
     * @return true if it accepts connections, false after the limit
     * @throws InterruptedException if the thread is interrupted
     */
    public static boolean await(InetSocketAddress control, Duration timeout)
            throws InterruptedException {
        long deadlineNanos = System.nanoTime() + timeout.toNanos();
        while (!isListening(control)) {
            if (System.nanoTime() > deadlineNanos) {
                return false;
            }
            TimeUnit.MILLISECONDS.sleep(POLL_INTERVAL_MILLIS);
        }
        return true;
    }

    private static boolean isListening(InetSocketAddress control) {
        try (Socket socket = new Socket()) {
            socket.connect(control, CONNECT_TIMEOUT_MILLIS);
            return true;
        } catch (IOException refused) {
            // Nobody listens yet, which is what this class waits for.
            return false;
        }
    }
}
