package org.yuccabank.protocol;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.time.Duration;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import org.yuccabank.protocol.generated.Envelope;
import org.yuccabank.protocol.generated.Hello;
import org.yuccabank.protocol.generated.OutcomeAnswer;
import org.yuccabank.protocol.generated.OutcomeQuery;
import org.yuccabank.protocol.generated.Role;
import reactor.core.publisher.Mono;

/**
 * Guards against connections that stay open without carrying data after a network device between
 * the processes has lost their state.
 */
public class SilentConnectionTest {

    private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(30);
    private static final PeerTimings TIMINGS =
            new PeerTimings(Duration.ofMillis(100), Duration.ofMillis(400), Duration.ofSeconds(1));
    private static final PeerTimings LIVENESS_DISABLED =
            new PeerTimings(Duration.ofHours(1), Duration.ofHours(1), Duration.ofSeconds(1));

    private PeerTransport serverTransport;
    private PeerServer server;
    private Forwarder forwarder;

    private static PeerTransport transport(PeerTimings timings) {
        Hello hello = Hello.newBuilder().setProcessId("test").setRole(Role.ENTRY).build();
        return PeerTransport.start(hello, () -> 0, timings, PeerSecurity.plaintext(), 1);
    }

    private static Mono<Envelope> reply(PeerConnection from, Envelope request) {
        if (request.getOutcomeQuery().getRequestId().equals("never")) {
            return Mono.never();
        }
        return Mono.just(
                Envelope.newBuilder()
                        .setOutcomeAnswer(OutcomeAnswer.newBuilder().setFound(true))
                        .build());
    }

    private static Envelope outcomeQuery(String requestId) {
        return Envelope.newBuilder()
                .setOutcomeQuery(OutcomeQuery.newBuilder().setRequestId(requestId))
                .build();
    }

    @BeforeMethod
    void start() {
        serverTransport = transport(TIMINGS);
        server =
                PeerServer.start(
                        serverTransport,
                        new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                        SilentConnectionTest::reply);
        forwarder = Forwarder.start(0, server.address());
    }

    @AfterMethod(alwaysRun = true)
    void stop() throws Exception {
        forwarder.close();
        server.stop();
        serverTransport.stop();
    }

    /**
     * Guards against requests that wait for their full timeout on a connection that carries no
     * data.
     */
    @Test
    public void shouldCloseSilentConnectionAndReconnect() {
        PeerTransport clientTransport = transport(TIMINGS);
        PeerClient client = PeerClient.of(clientTransport, forwarder.address(), PeerHandler.none());
        assertTrue(client.request(outcomeQuery("a"), REQUEST_TIMEOUT).block().hasOutcomeAnswer());
        forwarder.dropConnectionState();
        long start = System.nanoTime();
        PeerException failure =
                expectThrows(
                        PeerException.class,
                        () -> client.request(outcomeQuery("b"), REQUEST_TIMEOUT).block());
        assertTrue(failure.isInDoubt());
        // The request timeout is 30 s; only the idle timeout can fail the request earlier.
        assertTrue(System.nanoTime() - start < REQUEST_TIMEOUT.toNanos() / 2);
        assertTrue(client.request(outcomeQuery("c"), REQUEST_TIMEOUT).block().hasOutcomeAnswer());
        assertEquals(forwarder.connectionCount(), 2);
        clientTransport.stop();
    }

    /** Guards against an idle timeout that closes a working connection without requests. */
    @Test
    public void shouldKeepIdleConnectionWithHeartbeatsOpen() throws Exception {
        PeerTransport clientTransport = transport(TIMINGS);
        PeerClient client = PeerClient.of(clientTransport, forwarder.address(), PeerHandler.none());
        client.request(outcomeQuery("a"), REQUEST_TIMEOUT).block();
        Thread.sleep(3 * TIMINGS.idleTimeout().toMillis());
        client.request(outcomeQuery("b"), REQUEST_TIMEOUT).block();
        assertEquals(forwarder.connectionCount(), 1);
        clientTransport.stop();
    }

    /**
     * Guards against a silent connection that is closed even without the liveness check, which
     * would invalidate {@link #shouldCloseSilentConnectionAndReconnect}.
     */
    @Test
    public void shouldWaitForRequestTimeoutWithoutLivenessCheck() {
        PeerTransport clientTransport = transport(LIVENESS_DISABLED);
        PeerClient client = PeerClient.of(clientTransport, forwarder.address(), PeerHandler.none());
        // The server still sends heartbeats; only the client's liveness check is disabled.
        client.request(outcomeQuery("a"), REQUEST_TIMEOUT).block();
        forwarder.dropConnectionState();
        PeerException failure =
                expectThrows(
                        PeerException.class,
                        () -> client.request(outcomeQuery("b"), Duration.ofSeconds(2)).block());
        assertTrue(failure.getMessage().contains("no reply within"), failure.getMessage());
        clientTransport.stop();
    }

    /** Guards against a malformed frame that affects the connections of other peers. */
    @Test
    public void shouldCloseOnlyConnectionWithMalformedFrame() throws Exception {
        PeerTransport clientTransport = transport(TIMINGS);
        PeerClient client = PeerClient.of(clientTransport, server.address(), PeerHandler.none());
        client.request(outcomeQuery("a"), REQUEST_TIMEOUT).block();
        try (Socket socket =
                new Socket(server.address().getAddress(), server.address().getPort())) {
            OutputStream output = socket.getOutputStream();
            output.write(new byte[] {0, 0, 0, 4, (byte) 0xFF, (byte) 0xFF, 1, 2});
            output.flush();
            socket.setSoTimeout(10_000);
            while (socket.getInputStream().read() >= 0) {
                // Hello and heartbeats may arrive before the server closes the connection.
            }
        }
        assertTrue(client.request(outcomeQuery("b"), REQUEST_TIMEOUT).block().hasOutcomeAnswer());
        clientTransport.stop();
    }

    /** Guards against an outbound buffer that grows without limit when the peer does not read. */
    @Test
    public void shouldRejectRequestAsNotSentWhenPeerDoesNotRead() throws Exception {
        try (java.net.ServerSocket unreadListener =
                new java.net.ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            PeerTransport clientTransport = transport(LIVENESS_DISABLED);
            PeerClient client =
                    PeerClient.of(
                            clientTransport,
                            (InetSocketAddress) unreadListener.getLocalSocketAddress(),
                            PeerHandler.none());
            Envelope large =
                    Envelope.newBuilder()
                            .setInvoke(
                                    org.yuccabank.protocol.generated.Invoke.newBuilder()
                                            .setBody(
                                                    com.google.protobuf.ByteString.copyFrom(
                                                            new byte[1 << 20])))
                            .build();
            PeerException rejection = null;
            for (int count = 0; count < 64 && rejection == null; count++) {
                PeerException failure =
                        expectThrows(
                                PeerException.class,
                                () -> client.request(large, Duration.ofMillis(20)).block());
                rejection = failure.isInDoubt() ? null : failure;
            }
            assertTrue(rejection != null, "64 MiB were queued for a peer that does not read");
            clientTransport.stop();
        }
    }
}
