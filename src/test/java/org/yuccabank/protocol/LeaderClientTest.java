package org.yuccabank.protocol;

import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import org.yuccabank.protocol.generated.Envelope;
import org.yuccabank.protocol.generated.Hello;
import org.yuccabank.protocol.generated.WorkflowReply;
import reactor.core.publisher.Mono;

/** Tests leader discovery when hosts do not respond. */
public final class LeaderClientTest {

    private static final Duration REQUEST_TIMEOUT = Duration.ofMillis(900);
    private static final int CONNECT_TIMEOUT_MILLIS = 300;

    private PeerTransport transport;
    private ServerSocket unresponsiveListener;
    private final List<Socket> backlogSockets = new ArrayList<>();

    /**
     * Opens a listener whose accept queue is full, so that further connection attempts time out.
     */
    @BeforeMethod
    public void start() throws IOException {
        transport =
                PeerTransport.start(
                        Hello.newBuilder().setProcessId("p").build(),
                        () -> 0,
                        PeerTimings.defaults(),
                        PeerSecurity.plaintext(),
                        1);
        unresponsiveListener = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
        boolean accepted = true;
        while (accepted && backlogSockets.size() < 50) {
            Socket socket = new Socket();
            try {
                socket.connect(
                        unresponsiveListener.getLocalSocketAddress(), CONNECT_TIMEOUT_MILLIS);
                backlogSockets.add(socket);
            } catch (SocketTimeoutException exception) {
                accepted = false;
            }
        }
        assertTrue(!accepted, "the accept queue of the listener is not full");
    }

    @AfterMethod(alwaysRun = true)
    public void stop() throws IOException {
        for (Socket socket : backlogSockets) {
            socket.close();
        }
        backlogSockets.clear();
        unresponsiveListener.close();
        transport.stop();
    }

    /** Guards against requests that each wait for the connect timeout of a lost former leader. */
    @Test
    public void shouldNotRetryUnresponsiveHostFirst() {
        Envelope reply =
                Envelope.newBuilder().setWorkflowReply(WorkflowReply.getDefaultInstance()).build();
        PeerServer leaderServer =
                PeerServer.start(
                        transport,
                        new InetSocketAddress("127.0.0.1", 0),
                        (from, request) -> Mono.just(reply));
        LeaderClient client =
                LeaderClient.of(
                        transport,
                        List.of(
                                (InetSocketAddress) unresponsiveListener.getLocalSocketAddress(),
                                leaderServer.address()),
                        PeerHandler.none());
        Envelope request = Envelope.getDefaultInstance();
        assertTrue(client.request(request, REQUEST_TIMEOUT).block().hasWorkflowReply());
        long start = System.nanoTime();
        assertTrue(client.request(request, REQUEST_TIMEOUT).block().hasWorkflowReply());
        Duration elapsed = Duration.ofNanos(System.nanoTime() - start);
        Duration connectTimeout = PeerTimings.defaults().connectTimeout();
        assertTrue(
                elapsed.compareTo(connectTimeout) < 0,
                "the second request also waited for the connect timeout: " + elapsed);
        leaderServer.stop();
    }
}
